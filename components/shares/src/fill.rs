//! Max-min shares: room is filled up evenly, and who wants less gets what it wants.

/// So many workspaces that want as much each.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Group {
    /// What each of them wants, in requests.
    pub demand: f64,
    /// What each of them counts.
    pub weight: f64,
    /// How many they are.
    pub count: f64,
}

/// The level up to which each of `claims` is served where `room` is shared out: each gets what
/// it wants, or its weight times the level if that is less. Infinite where all are served.
pub fn max_min_level(claims: &mut [Group], room: f64) -> f64 {
    let want = |it: &Group| it.demand / it.weight;
    claims.sort_by(|one, other| want(one).total_cmp(&want(other)));
    let mut weight: f64 = claims.iter().map(|it| it.weight * it.count).sum();
    let mut left = room.max(0.0);
    for claim in claims.iter() {
        if weight <= 0.0 {
            break;
        }
        if want(claim) > left / weight {
            return left / weight;
        }
        left = (left - claim.demand * claim.count).max(0.0);
        weight -= claim.weight * claim.count;
    }
    f64::INFINITY
}
