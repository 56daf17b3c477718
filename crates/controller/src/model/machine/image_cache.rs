//! The images that a machine should hold.

use crate::messages::Time;

/// Images that are remembered of a machine.
const MAX_REMEMBERED_IMAGES: usize = 64;
/// The least size that a cache is taken to have, in GB.
const MIN_CACHE_GB: f64 = 1.0;

/// An image that a task on the machine needed.
#[derive(Debug, Clone)]
struct CachedImage {
    /// The planner's number of the image.
    image: u32,
    /// When a task last needed it.
    needed_at: Time,
    size_gb: f64,
}

/// Images that a machine's tasks needed, the latest first.
#[derive(Debug, Clone, Default)]
pub struct ImageCache {
    images: Vec<CachedImage>,
}

impl ImageCache {
    /// A task that needs `image` was on the machine at that time.
    pub fn record(&mut self, image: u32, needed_at: Time, size_gb: f64) {
        let known = self.images.iter().find(|cached| cached.image == image);
        let needed_at = known.map_or(needed_at, |cached| cached.needed_at.max(needed_at));
        self.images.retain(|cached| cached.image != image);
        let index = self.images.partition_point(|cached| cached.needed_at >= needed_at);
        self.images.insert(index, CachedImage { image, needed_at, size_gb });
        self.images.truncate(MAX_REMEMBERED_IMAGES);
    }

    /// The images that the machine should still hold: the latest that fit a cache of that size.
    pub fn held_in(&self, cache_gb: f64) -> Vec<u32> {
        let mut total_gb = 0.0;
        let fits = |cached: &&CachedImage| {
            total_gb += cached.size_gb;
            total_gb <= cache_gb.max(MIN_CACHE_GB)
        };
        self.images.iter().take_while(fits).map(|cached| cached.image).collect()
    }

    /// At most `max_images` that were needed at `since` or later, with their sizes in GB.
    pub fn latest(&self, since: Time, max_images: usize) -> impl Iterator<Item = (u32, f64)> + '_ {
        let recent = self.images.iter().filter(move |cached| cached.needed_at >= since);
        recent.take(max_images).map(|cached| (cached.image, cached.size_gb))
    }
}
