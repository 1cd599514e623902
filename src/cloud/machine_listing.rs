//! Reads the cloud's machine list, which is paginated.

use crate::wire::cloud::{ListedMachine, MachineList, CLOUD_MACHINES_PATH};

/// The maximum number of machines on one page.
const PAGE_MACHINES: usize = 500;

/// The pages of the machine list read so far.
#[derive(Debug, Default)]
pub(super) struct MachineListing {
    machines: Vec<ListedMachine>,
    /// The last machine of the page read last; `None` before the first page.
    after: Option<String>,
}

impl MachineListing {
    /// Discards the pages read so far and starts again with the first page.
    pub(super) fn reset(&mut self) {
        *self = MachineListing::default();
    }

    /// Returns the request path of the next page.
    pub(super) fn next_path(&self) -> String {
        let from = self
            .after
            .as_ref()
            .map(|after| format!("from={after}&"))
            .unwrap_or_default();
        format!("{CLOUD_MACHINES_PATH}?{from}limit={PAGE_MACHINES}")
    }

    /// Adds a page. Returns all machines once the last page has been added.
    pub(super) fn add_page(&mut self, page: MachineList) -> Option<Vec<ListedMachine>> {
        self.after = page.machines.last().map(|machine| machine.id.clone());
        self.machines.extend(page.machines);
        if page.has_more && self.after.is_some() {
            return None;
        }
        self.after = None;
        Some(std::mem::take(&mut self.machines))
    }
}
