use std::hash::{DefaultHasher, Hash, Hasher};

/// Returns the share of `total` slots of a runner that belongs to `own`, which need not be listed in `members`.
///
/// Members are ranked by a hash of the member and the runner (rendezvous hashing); the first ranks get the remainder of
/// the division. Members with the same list of members compute the same shares, which add up to `total`.
#[must_use]
pub fn rendezvous_share(runner: &str, members: &[&str], own: &str, total: u32) -> u32 {
    let own_rank = rank(runner, own);
    let mut before = 0;
    let mut others = 0;
    for member in members.iter().filter(|member| **member != own) {
        others += 1;
        before += u32::from(rank(runner, member) > own_rank);
    }
    let count: u32 = others + 1;
    total / count + u32::from(before < total % count)
}

fn rank<'a>(runner: &str, member: &'a str) -> (u64, &'a str) {
    let mut hasher = DefaultHasher::new();
    member.hash(&mut hasher);
    runner.hash(&mut hasher);
    (hasher.finish(), member)
}
