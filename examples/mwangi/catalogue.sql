-- Mwangi Edge Regrinding: the shop assistant on five engines, the desk job
-- service on four servers, five organisations of which two are large.
-- Run it with: foxtailrelay run --file examples/mwangi/catalogue.sql
CREATE SERVICE shop-assistant WITH (kind = model);
CREATE SERVICE desk-jobs WITH (
    kind = plain, idempotent = no, status_path = '/calls/{key}'
);

CREATE ORGANISATION thika-workshops WITH (token = 'thika-workshops.CHANGE-ME', requests_per_s = 60, requests_in_flight = 400);
CREATE ORGANISATION nairobi-workshops WITH (token = 'nairobi-workshops.CHANGE-ME', requests_per_s = 60, requests_in_flight = 400);
CREATE ORGANISATION walk-in-desk WITH (token = 'walk-in-desk.CHANGE-ME', requests_per_s = 15, requests_in_flight = 100);
CREATE ORGANISATION saw-mills WITH (token = 'saw-mills.CHANGE-ME', requests_per_s = 10, requests_in_flight = 60);
CREATE ORGANISATION ledger-office WITH (token = 'ledger-office.CHANGE-ME', requests_per_s = 5, requests_in_flight = 40);

GRANT CALL ON SERVICE shop-assistant TO ORGANISATION thika-workshops;
GRANT CALL ON SERVICE desk-jobs TO ORGANISATION thika-workshops;
GRANT CALL ON SERVICE shop-assistant TO ORGANISATION nairobi-workshops;
GRANT CALL ON SERVICE desk-jobs TO ORGANISATION nairobi-workshops;
GRANT CALL ON SERVICE shop-assistant TO ORGANISATION walk-in-desk;
GRANT CALL ON SERVICE desk-jobs TO ORGANISATION walk-in-desk;
GRANT CALL ON SERVICE shop-assistant TO ORGANISATION saw-mills;
GRANT CALL ON SERVICE desk-jobs TO ORGANISATION saw-mills;
GRANT CALL ON SERVICE shop-assistant TO ORGANISATION ledger-office;
GRANT CALL ON SERVICE desk-jobs TO ORGANISATION ledger-office;

CREATE BACKEND engine-1 WITH (
    service = shop-assistant, host = '10.1.1.21', port = 8000, zone = 'industrial-area',
    vm = 'vm-engine-1', vm_class = 'reclaimable', price = 0.9,
    prefill_tokens_per_s = 9000, slots = 48, checks_fencing = yes
);
CREATE BACKEND engine-2 WITH (
    service = shop-assistant, host = '10.1.2.21', port = 8000, zone = 'thika-road',
    vm = 'vm-engine-2', vm_class = 'reclaimable', price = 0.8,
    prefill_tokens_per_s = 7000, slots = 48, checks_fencing = yes
);
CREATE BACKEND engine-3 WITH (
    service = shop-assistant, host = '10.1.3.21', port = 8000, zone = 'ruiru',
    vm = 'vm-engine-3', vm_class = 'on-demand', price = 2.1,
    prefill_tokens_per_s = 9000, slots = 48, checks_fencing = yes
);
CREATE BACKEND engine-4 WITH (
    service = shop-assistant, host = '10.1.4.21', port = 8000, zone = 'westlands',
    vm = 'vm-engine-4', vm_class = 'reclaimable', price = 0.7,
    prefill_tokens_per_s = 4000, slots = 32, checks_fencing = no
);
CREATE BACKEND engine-5 WITH (
    service = shop-assistant, host = '10.1.1.22', port = 8000, zone = 'industrial-area',
    vm = 'vm-engine-5', vm_class = 'on-demand', price = 1.6,
    prefill_tokens_per_s = 4000, slots = 32, checks_fencing = no
);

CREATE BACKEND desk-1 WITH (
    service = desk-jobs, host = '10.1.1.31', port = 8000, zone = 'industrial-area',
    vm = 'vm-desk-1', vm_class = 'reclaimable', price = 0.2
);
CREATE BACKEND desk-2 WITH (
    service = desk-jobs, host = '10.1.2.31', port = 8000, zone = 'thika-road',
    vm = 'vm-desk-2', vm_class = 'on-demand', price = 0.2
);
CREATE BACKEND desk-3 WITH (
    service = desk-jobs, host = '10.1.3.31', port = 8000, zone = 'ruiru',
    vm = 'vm-desk-3', vm_class = 'reclaimable', price = 0.2
);
CREATE BACKEND desk-4 WITH (
    service = desk-jobs, host = '10.1.4.31', port = 8000, zone = 'westlands',
    vm = 'vm-desk-4', vm_class = 'on-demand', price = 0.2
);

CREATE PLACEMENT RULE spread-shop-assistant WITH (
    service = shop-assistant, minimum_zones = 3, reclaimable_share = 0.5
);
