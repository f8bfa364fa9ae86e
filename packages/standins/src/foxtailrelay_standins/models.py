"""The models of the stand-ins, without HTTP."""

from foxtailrelay_standins.internal import backend_model
from foxtailrelay_standins.internal import cloud_model
from foxtailrelay_standins.internal import engine_model
from foxtailrelay_standins.internal import generation
from foxtailrelay_standins.internal import log_store

BackendFaults = backend_model.BackendFaults
BackendModel = backend_model.BackendModel
BackendRun = backend_model.BackendRun
CloudModel = cloud_model.CloudModel
EngineModel = engine_model.EngineModel
EngineProfile = engine_model.EngineProfile
Generation = generation.Generation
GenerationRequest = generation.GenerationRequest
LogFaults = log_store.LogFaults
LogStore = log_store.LogStore

__all__ = [
    'BackendFaults',
    'BackendModel',
    'BackendRun',
    'CloudModel',
    'EngineModel',
    'EngineProfile',
    'Generation',
    'GenerationRequest',
    'LogFaults',
    'LogStore',
]
