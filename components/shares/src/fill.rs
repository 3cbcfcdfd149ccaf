//! Max-min fair allocation.

/// Workspaces with equal demand and weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Group {
    /// The demand of each workspace, in requests.
    pub demand: f64,
    /// The weight of each workspace.
    pub weight: f64,
    /// The number of workspaces.
    pub count: f64,
}

/// Allocates `capacity` to `groups` and returns the level up to which demands are met: each
/// workspace gets its demand, or its weight times the level if that is less. Infinite if all
/// demands are met.
pub fn max_min_level(groups: &mut [Group], capacity: f64) -> f64 {
    let full = |group: &Group| group.demand / group.weight;
    groups.sort_by(|one, other| full(one).total_cmp(&full(other)));
    let mut weight: f64 = groups.iter().map(|group| group.weight * group.count).sum();
    let mut left = capacity.max(0.0);
    for group in groups.iter() {
        if weight <= 0.0 {
            break;
        }
        if full(group) > left / weight {
            return left / weight;
        }
        left = (left - group.demand * group.count).max(0.0);
        weight -= group.weight * group.count;
    }
    f64::INFINITY
}
