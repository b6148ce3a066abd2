#pragma once

#include "corianderscale/Gateway/OperatorRoutes.h"

#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace coriander {

/**
 * What the operators' routes read of the gateway. The gateway's thread refreshes it, so that the routes, which run on
 * threads of their own, never wait for that thread.
 *
 * Thread safety: any thread.
 */
class OperatorView
{
public:
    void setDocument(DocumentInForce document)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_document = std::move(document);
    }

    void setInstances(std::vector<InstanceView> instances)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_instances = std::move(instances);
    }

    void setEndpoints(Json endpoints)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_endpoints = std::move(endpoints);
    }

    std::optional<DocumentInForce> document() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_document;
    }

    std::vector<InstanceView> instances() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_instances;
    }

    Json endpoints() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_endpoints;
    }

private:
    mutable std::mutex m_mutex;
    std::optional<DocumentInForce> m_document;
    std::vector<InstanceView> m_instances;
    Json m_endpoints = Json::array();
};

} // namespace coriander
