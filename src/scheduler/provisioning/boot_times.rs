//! How long machines take to boot: by the catalog, as learned, and at most.

use crate::cloud::Offer;
use crate::scheduler::Scheduler;

impl Scheduler {
    /// The boot time that the catalog states, in seconds; a worker's lease for a
    /// type that the catalog doesn't hold.
    pub(in crate::scheduler) fn nominal_boot_s(&self, machine_type: &str) -> f64 {
        self.catalog
            .as_ref()
            .and_then(|catalog| catalog.find(machine_type))
            .map_or(self.settings.site.workers.lease_s, |machine_type| {
                machine_type.boot_s
            })
    }

    /// How long a boot is expected to take.
    pub(in crate::scheduler) fn expected_boot_ms(&self, offer: &Offer) -> u64 {
        let nominal_s = self.nominal_boot_s(&offer.machine_type);
        (self
            .estimates
            .expected_boot_s(&offer.machine_type, nominal_s)
            * 1000.0) as u64
    }

    /// How long a boot may take without being unusual. However quick the latest
    /// boots were, the next one may take as long as the catalog says: otherwise
    /// machines can be released over and over before they come up, as has
    /// happened.
    pub(in crate::scheduler) fn usual_boot_ms(&self, offer: &Offer) -> u64 {
        let nominal_s = self.nominal_boot_s(&offer.machine_type);
        self.expected_boot_ms(offer)
            .max((nominal_s * 1000.0) as u64)
    }
}
