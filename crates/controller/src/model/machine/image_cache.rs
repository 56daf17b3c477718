//! Images that a machine is expected to hold.

use crate::messages::Time;

/// Maximum number of images remembered per machine.
const MAX_REMEMBERED_IMAGES: usize = 64;
/// Minimum assumed size of an image cache, in GB.
const MIN_CACHE_GB: f64 = 1.0;

/// An image that a task on the machine needed.
#[derive(Debug, Clone)]
struct CachedImage {
    /// Number of the image.
    image: u32,
    /// Time at which a task last needed it.
    needed_at: Time,
    size_gb: f64,
}

/// Images that a machine's tasks needed, most recently needed first.
#[derive(Debug, Clone, Default)]
pub struct ImageCache {
    images: Vec<CachedImage>,
}

impl ImageCache {
    /// Records that a task on the machine needed `image` at `needed_at`.
    pub fn record(&mut self, image: u32, needed_at: Time, size_gb: f64) {
        let known = self.images.iter().find(|cached| cached.image == image);
        let needed_at = known.map_or(needed_at, |cached| cached.needed_at.max(needed_at));
        self.images.retain(|cached| cached.image != image);
        let index = self.images.partition_point(|cached| cached.needed_at >= needed_at);
        self.images.insert(index, CachedImage { image, needed_at, size_gb });
        self.images.truncate(MAX_REMEMBERED_IMAGES);
    }

    /// Returns the images that the machine is expected to hold: the most recently needed ones that fit
    /// in a cache of `cache_gb`.
    pub fn images_that_fit(&self, cache_gb: f64) -> Vec<u32> {
        let mut total_gb = 0.0;
        let fits = |cached: &&CachedImage| {
            total_gb += cached.size_gb;
            total_gb <= cache_gb.max(MIN_CACHE_GB)
        };
        self.images.iter().take_while(fits).map(|cached| cached.image).collect()
    }

    /// Returns at most `max_images` images that were needed at `since` or later, with their sizes in
    /// GB, most recently needed first.
    pub fn latest(&self, since: Time, max_images: usize) -> impl Iterator<Item = (u32, f64)> + '_ {
        let recent = self.images.iter().filter(move |cached| cached.needed_at >= since);
        recent.take(max_images).map(|cached| (cached.image, cached.size_gb))
    }
}
