//! What a back end keeps of grants, leases and request records: a pure state machine.
