#pragma once

#include "corianderscale/Protocol/Records.h"

namespace coriander {

/** Merges @p from into @p into; the larger value of each count wins. */
void mergeCounts(CountsRecord &into, const CountsRecord &from);

/** Whether each count in @p stored is at least the same count in @p own. */
bool countsCover(const CountsRecord &stored, const CountsRecord &own);

} // namespace coriander
