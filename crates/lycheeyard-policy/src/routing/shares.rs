use std::hash::{DefaultHasher, Hash, Hasher};

/// The part of `total` that falls to `own`, a member that need not be listed in `members`.
///
/// Members are ranked by a hash of the member and the runner; the first ranks take what cannot be divided. Every
/// member that knows the same members computes the same shares, and together they make up `total`.
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
