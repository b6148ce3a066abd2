#pragma once

namespace coriander {

/**
 * Compares in memory, with virtual time, two ways to estimate the number of members: counting the gossiped membership,
 * and averaging the distances between neighbours on a ring of identifiers. Repeats each measurement with @p seeds seeds
 * and prints the medians as JSON lines. Returns an exit code.
 */
int compareSizeEstimates(int seeds);

} // namespace coriander
