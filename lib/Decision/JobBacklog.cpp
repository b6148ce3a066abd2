#include "corianderscale/Decision/JobBacklog.h"

#include <cassert>

namespace coriander::decision {

void JobBacklog::add(std::size_t bytes)
{
    m_bytes += bytes;
    m_full = m_full || m_bytes >= m_maximum;
}

void JobBacklog::remove(std::size_t bytes)
{
    assert(bytes <= m_bytes);
    m_bytes -= bytes;
    m_full = m_full && m_bytes > m_maximum - m_maximum / 8;
}

} // namespace coriander::decision
