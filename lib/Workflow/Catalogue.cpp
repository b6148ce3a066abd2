#include "corianderscale/Workflow/Catalogue.h"

#include <algorithm>

namespace coriander::workflow {

void Catalogue::index()
{
    m_queueIndex.clear();
    for (std::size_t i = 0; i < queues.size(); ++i) {
        m_queueIndex.emplace(queues[i].name, i);
    }
}

const QueueSpec *Catalogue::queueFor(const std::string &host, const std::string &path) const
{
    const QueueSpec *best = nullptr;
    for (const QueueSpec &queue : queues) {
        if (queue.host != host || !path.starts_with(queue.prefix)) {
            continue;
        }
        if (best == nullptr || queue.prefix.size() > best->prefix.size()) {
            best = &queue;
        }
    }
    return best;
}

const QueueSpec *Catalogue::queue(const QueueName &name) const
{
    const auto found = m_queueIndex.find(name);
    return found == m_queueIndex.end() ? nullptr : &queues[found->second];
}

const OrganisationSpec *Catalogue::organisation(const OrganisationId &id) const
{
    const auto found = std::find_if(
        organisations.begin(), organisations.end(), [&id](const OrganisationSpec &each) { return each.id == id; });
    return found == organisations.end() ? nullptr : &*found;
}

const OrganisationSpec *Catalogue::holderOf(const std::string &credential) const
{
    const auto holds = [&credential](const OrganisationSpec &each) {
        return std::find(each.credentials.begin(), each.credentials.end(), credential) != each.credentials.end();
    };
    const auto found = std::find_if(organisations.begin(), organisations.end(), holds);
    return found == organisations.end() ? nullptr : &*found;
}

} // namespace coriander::workflow
