//! Whether many workers have just fallen silent together.

use super::Target;

/// Time since they were found to be silent for which workers count, in milliseconds: a little more than a look takes, so that by its end every other
/// worker was heard or found to be silent as well.
const LATELY_MS: u64 = 2_500;
/// Share of all workers, in percent, that fall silent together when something larger than a worker fails.
const SHARE_PERCENT: usize = 2;
/// Fewer say nothing: two workers may crash at once by chance.
const FEWEST: usize = 3;

/// When workers were last heard that have just fallen silent together, on the leader's clock in milliseconds; `None` while they have not.
///
/// A cut or a loss of power takes many workers at one moment, and each is found to be silent only when its own look is not answered, up to two
/// seconds later. Whoever was heard since that moment is there; work given to the others meanwhile waits for their leases.
pub(super) fn last_heard_ms<'a>(
    now_ms: u64,
    targets: impl Iterator<Item = &'a Target>,
) -> Option<u64> {
    let (mut all, mut silent, mut last_ms) = (0, 0, 0);
    for target in targets {
        all += 1;
        let since_ms = target.failing_since_ms;
        if since_ms.is_some_and(|since_ms| now_ms < since_ms + LATELY_MS) {
            silent += 1;
            last_ms = last_ms.max(target.last_heard_ms());
        }
    }
    (silent >= FEWEST && silent * 100 >= all * SHARE_PERCENT).then_some(last_ms)
}
