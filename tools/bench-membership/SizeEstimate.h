#pragma once

namespace coriander {

/**
 * Compares in memory, with virtual time, two ways to know the number of members: counting the gossiped membership, and
 * averaging the distances between neighbours on a ring of identifiers. Prints JSON lines; returns an exit code.
 */
int compareSizeEstimates(int seeds);

} // namespace coriander
