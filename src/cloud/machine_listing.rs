//! The cloud's machine list, which is read page by page.

use crate::wire::cloud::{ListedMachine, MachineList, CLOUD_MACHINES_PATH};

/// The most machines of one page.
const PAGE_MACHINES: usize = 500;

/// The pages of the machine list that were read so far.
#[derive(Debug, Default)]
pub(super) struct MachineListing {
    machines: Vec<ListedMachine>,
    /// The last machine of the last page.
    after: Option<String>,
}

impl MachineListing {
    /// Begins again with the first page.
    pub(super) fn reset(&mut self) {
        *self = MachineListing::default();
    }

    /// The path of the next page.
    pub(super) fn next_path(&self) -> String {
        let from = self
            .after
            .as_ref()
            .map(|after| format!("from={after}&"))
            .unwrap_or_default();
        format!("{CLOUD_MACHINES_PATH}?{from}limit={PAGE_MACHINES}")
    }

    /// Adds a page. Returns all machines after the last page.
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
