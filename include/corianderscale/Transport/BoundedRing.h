#pragma once

#include "corianderscale/Support/Time.h"

#include <boost/lockfree/queue.hpp>

#include <atomic>
#include <cassert>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <utility>

namespace coriander {

/**
 * Bounded queue between threads, with several producers and one consumer. Producers never block: push() fails when the
 * queue is full.
 *
 * Thread safety: push() from any thread; pop() from one thread.
 */
template<typename Item>
class BoundedRing
{
public:
    /** Precondition: @p capacity is at least 1. */
    explicit BoundedRing(std::size_t capacity)
        : m_queue(capacity)
        , m_capacity(capacity)
    {
        assert(capacity > 0 && "the capacity of the queue must be at least 1");
    }

    ~BoundedRing()
    {
        Item *item = nullptr;
        while (m_queue.pop(item)) {
            delete item;
        }
    }

    BoundedRing(const BoundedRing &) = delete;
    BoundedRing &operator=(const BoundedRing &) = delete;

    /** Adds an item and wakes the consumer. Returns false when the queue is full. */
    bool push(Item item)
    {
        if (m_size.fetch_add(1) >= m_capacity) {
            m_size.fetch_sub(1);
            return false;
        }
        auto owned = std::make_unique<Item>(std::move(item));
        if (!m_queue.push(owned.get())) {
            m_size.fetch_sub(1);
            return false;
        }
        static_cast<void>(owned.release());
        // The empty critical section prevents a lost wake-up: a consumer that checked m_size before the push is waiting
        // by now.
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
        }
        m_wake.notify_one();
        return true;
    }

    /** Removes and returns the oldest item; waits at most @p wait for one. */
    std::optional<Item> pop(Duration wait)
    {
        if (std::optional<Item> item = tryPop()) {
            return item;
        }
        std::unique_lock<std::mutex> lock(m_mutex);
        m_wake.wait_for(lock, wait, [this] { return m_size.load() > 0; });
        lock.unlock();
        return tryPop();
    }

    /** Removes and returns the oldest item, or returns no value when the queue is empty. */
    std::optional<Item> tryPop()
    {
        Item *raw = nullptr;
        if (!m_queue.pop(raw)) {
            return std::nullopt;
        }
        m_size.fetch_sub(1);
        const std::unique_ptr<Item> owned(raw);
        return std::move(*owned);
    }

    /** Returns the number of items; approximate while other threads push or pop. */
    std::size_t size() const
    {
        return m_size.load();
    }

private:
    boost::lockfree::queue<Item *> m_queue;
    std::size_t m_capacity;
    std::atomic<std::size_t> m_size = 0;
    std::mutex m_mutex;
    std::condition_variable m_wake;
};

} // namespace coriander
