//! Boot times of machines: the nominal time of the catalog, the learned estimate, and
//! the larger of the two.

use crate::cloud::Offer;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// Returns the boot time given by the catalog, in seconds, or the length of a worker's
    /// lease if the catalog doesn't contain the machine type.
    pub(in crate::scheduler) fn nominal_boot_s(&self, machine_type: &str) -> f64 {
        self.catalog
            .as_ref()
            .and_then(|catalog| catalog.find(machine_type))
            .map_or(self.settings.site.workers.lease_s, |machine_type| {
                machine_type.boot_s
            })
    }

    /// Returns the learned boot time of the offer's machine type, or the nominal one if
    /// none has been learned.
    pub(in crate::scheduler) fn expected_boot_ms(&self, offer: &Offer) -> u64 {
        let nominal_s = self.nominal_boot_s(&offer.machine_type);
        (self
            .estimates
            .expected_boot_s(&offer.machine_type, nominal_s)
            * 1000.0) as u64
    }

    /// Returns the larger of the expected and the nominal boot time. The nominal time is
    /// the lower bound even if the latest boots were faster: with the learned estimate
    /// alone, machines were released repeatedly before their boot completed.
    pub(in crate::scheduler) fn conservative_boot_ms(&self, offer: &Offer) -> u64 {
        let nominal_s = self.nominal_boot_s(&offer.machine_type);
        self.expected_boot_ms(offer)
            .max((nominal_s * 1000.0) as u64)
    }
}
