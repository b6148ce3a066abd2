#pragma once

#include "corianderscale/Gateway/Authenticator.h"
#include "corianderscale/Gateway/JobService.h"
#include "corianderscale/Gateway/RequestService.h"

#include <memory>
#include <optional>
#include <string>

namespace coriander {

/**
 * The callers' HTTP interface: authenticates, checks what was sent, and hands it to the services.
 *
 * Thread safety: the gateway's thread.
 */
class CallerApi
{
public:
    CallerApi(RequestService &requests, JobService &jobs);

    void setDocument(std::shared_ptr<const Document> document);
    std::shared_ptr<const Document> document() const;

    /** Refuses new work from now on; work in progress and questions are still answered. */
    void stopTakingWork();

    void postRequest(const HttpRequest &request, const std::string &service, const HttpRespond &respond);
    void getRequest(const HttpRequest &request, const std::string &key, const HttpRespond &respond);
    void postJob(const HttpRequest &request, const HttpRespond &respond);
    void listJobs(const HttpRequest &request, const HttpRespond &respond);
    void getJob(const HttpRequest &request, const std::string &id, const HttpRespond &respond);
    void deleteJob(const HttpRequest &request, const std::string &id, const HttpRespond &respond);

private:
    /** The caller, or no value after the refusal was sent. */
    std::optional<CallerKey> authenticate(const HttpRequest &request, const HttpRespond &respond) const;
    /** Whether new work is taken; otherwise the refusal was sent. */
    bool takesWork(const HttpRespond &respond) const;

    RequestService &m_requests;
    JobService &m_jobs;
    std::shared_ptr<const Document> m_document;
    std::unique_ptr<Authenticator> m_authenticator;
    bool m_stopped = false;
};

} // namespace coriander
