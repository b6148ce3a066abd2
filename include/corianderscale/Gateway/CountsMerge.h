#pragma once

#include "corianderscale/Protocol/Records.h"

namespace coriander {

/** Takes the larger value of each count into @p into. */
void mergeCounts(CountsRecord &into, const CountsRecord &from);

/** Whether @p stored holds at least the counts of @p own, element by element. */
bool countsCover(const CountsRecord &stored, const CountsRecord &own);

} // namespace coriander
