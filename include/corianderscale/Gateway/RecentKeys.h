#pragma once

#include <deque>
#include <set>
#include <string>

namespace coriander {

/**
 * A set of the most recently added keys with a maximum size; the oldest key is removed first.
 *
 * Thread safety: not thread safe.
 */
class RecentKeys
{
public:
    explicit RecentKeys(std::size_t maximum)
        : m_maximum(maximum)
    {
    }

    void add(const std::string &key)
    {
        if (!m_keys.insert(key).second) {
            return;
        }
        m_order.push_back(key);
        while (m_order.size() > m_maximum) {
            m_keys.erase(m_order.front());
            m_order.pop_front();
        }
    }

    void remove(const std::string &key)
    {
        m_keys.erase(key);
    }

    bool contains(const std::string &key) const
    {
        return m_keys.contains(key);
    }

private:
    std::size_t m_maximum;
    std::set<std::string> m_keys;
    std::deque<std::string> m_order;
};

} // namespace coriander
