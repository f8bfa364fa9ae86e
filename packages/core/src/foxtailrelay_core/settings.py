"""Settings of a node; loading them reports all errors at once.

The settings file is JSON with comments::

    loaded = settings.load_file('entry-1.jsonc')
    if isinstance(loaded, settings.SettingsErrors):
        print(loaded.text())
"""

from foxtailrelay_core.internal import node_settings
from foxtailrelay_core.internal import settings_errors
from foxtailrelay_core.internal import settings_loader

ClusterSettings = node_settings.ClusterSettings
LimitSettings = node_settings.LimitSettings
LogSettings = node_settings.LogSettings
NodeIdentity = node_settings.NodeIdentity
NodeSettings = node_settings.NodeSettings
OperatorAccount = node_settings.OperatorAccount
PeerAddress = node_settings.PeerAddress
PlatformSettings = node_settings.PlatformSettings
RoutingSettings = node_settings.RoutingSettings
SettingsErrors = settings_errors.SettingsErrors
TimingSettings = node_settings.TimingSettings
load_file = settings_loader.load_file
load_text = settings_loader.load_text

__all__ = [
    'ClusterSettings',
    'LimitSettings',
    'LogSettings',
    'NodeIdentity',
    'NodeSettings',
    'OperatorAccount',
    'PeerAddress',
    'PlatformSettings',
    'RoutingSettings',
    'SettingsErrors',
    'TimingSettings',
    'load_file',
    'load_text',
]
