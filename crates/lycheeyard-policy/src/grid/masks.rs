/// Maximum number of accelerators per worker that the scheduler uses; a mask is one `u64`.
pub(crate) const MAX_ACCELERATORS: u16 = 64;

/// A mask of the first `count` accelerators of a worker.
pub(crate) fn full_mask(count: u16) -> u64 {
    match count.min(MAX_ACCELERATORS) {
        0 => 0,
        count => u64::MAX >> (MAX_ACCELERATORS - count),
    }
}

/// Finds the shortest run of adjacent accelerators that holds `count` of them.
///
/// Returns a mask of the first `count` accelerators of that run and the number of accelerators left over in it.
pub(crate) fn best_run(mut mask: u64, count: u16) -> Option<(u64, u32)> {
    let wanted = u32::from(count);
    let mut best: Option<(u64, u32)> = None;
    while mask != 0 {
        let start = mask.trailing_zeros();
        let length = (mask >> start).trailing_ones();
        let left = length.checked_sub(wanted);
        if let Some(left) = left
            && best.is_none_or(|(_, other)| left < other)
        {
            best = Some((full_mask(count) << start, left));
        }
        mask &= !(full_bits(length) << start);
    }
    best
}

/// The length of the longest run of adjacent accelerators.
pub(crate) fn longest_run(mut mask: u64) -> u32 {
    let mut length = 0;
    while mask != 0 {
        mask &= mask << 1;
        length += 1;
    }
    length
}

fn full_bits(length: u32) -> u64 {
    u64::MAX >> (u64::BITS - length.clamp(1, u64::BITS))
}
