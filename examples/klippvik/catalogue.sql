-- Klippvik Cloud: the language model pool on six engines, the backup service
-- on four servers, five organisations of which two are large.
-- Run it with: foxtailrelay run --file examples/klippvik/catalogue.sql
CREATE SERVICE footage-models WITH (kind = model);
CREATE SERVICE backup WITH (
    kind = plain, idempotent = no, status_path = '/calls/{key}'
);

CREATE ORGANISATION companion-app WITH (token = 'companion-app.CHANGE-ME', requests_per_s = 80, requests_in_flight = 600);
CREATE ORGANISATION touring-retailer WITH (token = 'touring-retailer.CHANGE-ME', requests_per_s = 60, requests_in_flight = 400);
CREATE ORGANISATION support-desk WITH (token = 'support-desk.CHANGE-ME', requests_per_s = 20, requests_in_flight = 100);
CREATE ORGANISATION clip-tagging WITH (token = 'clip-tagging.CHANGE-ME', requests_per_s = 20, requests_in_flight = 200);
CREATE ORGANISATION archive WITH (token = 'archive.CHANGE-ME', requests_per_s = 5, requests_in_flight = 50);

GRANT CALL ON SERVICE footage-models TO ORGANISATION companion-app;
GRANT CALL ON SERVICE backup TO ORGANISATION companion-app;
GRANT CALL ON SERVICE footage-models TO ORGANISATION touring-retailer;
GRANT CALL ON SERVICE backup TO ORGANISATION touring-retailer;
GRANT CALL ON SERVICE footage-models TO ORGANISATION support-desk;
GRANT CALL ON SERVICE backup TO ORGANISATION support-desk;
GRANT CALL ON SERVICE footage-models TO ORGANISATION clip-tagging;
GRANT CALL ON SERVICE backup TO ORGANISATION clip-tagging;
GRANT CALL ON SERVICE footage-models TO ORGANISATION archive;
GRANT CALL ON SERVICE backup TO ORGANISATION archive;

CREATE BACKEND engine-1 WITH (
    service = footage-models, host = '10.2.1.21', port = 8000, zone = 'zone-a',
    vm = 'vm-engine-1', vm_class = 'reclaimable', price = 1.1,
    prefill_tokens_per_s = 12000, slots = 64, checks_fencing = yes
);
CREATE BACKEND engine-2 WITH (
    service = footage-models, host = '10.2.2.21', port = 8000, zone = 'zone-b',
    vm = 'vm-engine-2', vm_class = 'on-demand', price = 2.4,
    prefill_tokens_per_s = 12000, slots = 64, checks_fencing = yes
);
CREATE BACKEND engine-3 WITH (
    service = footage-models, host = '10.2.3.21', port = 8000, zone = 'zone-c',
    vm = 'vm-engine-3', vm_class = 'reclaimable', price = 0.9,
    prefill_tokens_per_s = 8000, slots = 48, checks_fencing = no
);
CREATE BACKEND engine-4 WITH (
    service = footage-models, host = '10.2.4.21', port = 8000, zone = 'zone-d',
    vm = 'vm-engine-4', vm_class = 'on-demand', price = 2.2,
    prefill_tokens_per_s = 8000, slots = 48, checks_fencing = yes
);
CREATE BACKEND engine-5 WITH (
    service = footage-models, host = '10.2.1.22', port = 8000, zone = 'zone-a',
    vm = 'vm-engine-5', vm_class = 'reclaimable', price = 1.0,
    prefill_tokens_per_s = 5000, slots = 32, checks_fencing = no
);
CREATE BACKEND engine-6 WITH (
    service = footage-models, host = '10.2.2.22', port = 8000, zone = 'zone-b',
    vm = 'vm-engine-6', vm_class = 'on-demand', price = 1.9,
    prefill_tokens_per_s = 5000, slots = 32, checks_fencing = yes
);

CREATE BACKEND backup-1 WITH (
    service = backup, host = '10.2.1.31', port = 8000, zone = 'zone-a',
    vm = 'vm-backup-1', vm_class = 'reclaimable', price = 0.3
);
CREATE BACKEND backup-2 WITH (
    service = backup, host = '10.2.2.31', port = 8000, zone = 'zone-b',
    vm = 'vm-backup-2', vm_class = 'reclaimable', price = 0.3
);
CREATE BACKEND backup-3 WITH (
    service = backup, host = '10.2.3.31', port = 8000, zone = 'zone-c',
    vm = 'vm-backup-3', vm_class = 'on-demand', price = 0.3
);
CREATE BACKEND backup-4 WITH (
    service = backup, host = '10.2.4.31', port = 8000, zone = 'zone-d',
    vm = 'vm-backup-4', vm_class = 'on-demand', price = 0.3
);

CREATE PLACEMENT RULE spread-footage-models WITH (
    service = footage-models, minimum_zones = 3, reclaimable_share = 0.5
);
