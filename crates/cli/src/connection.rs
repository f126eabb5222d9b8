//! Creates the client of the control group from the connection arguments.

use std::time::Duration;

use grebepin_admin_client::{AdminClient, ClientOptions};

use crate::arguments::Connection;

impl Connection {
    pub(crate) fn client(&self) -> AdminClient {
        let options = ClientOptions {
            timeout: Duration::from_millis(self.timeout_ms),
            leader_search_timeout: Duration::from_millis(self.patience_ms),
        };
        AdminClient::new(self.control.clone(), options)
    }
}
