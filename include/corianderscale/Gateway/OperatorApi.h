#pragma once

#include "corianderscale/Gateway/OperatorRoutes.h"
#include "corianderscale/State/TotalsLedger.h"

#include <string>
#include <vector>

namespace coriander {

/**
 * The operators' calls, one method each: takes the request and the captures of its path, returns the response.
 *
 * The methods wait for the store. Thread safety: any thread on which the store does not complete its calls.
 */
class OperatorApi
{
public:
    /** Precondition: the hooks that are not optional are set. */
    explicit OperatorApi(OperatorHooks hooks);

    /** @name Documents */
    ///@{
    HttpResponse check(const HttpRequest &request);
    HttpResponse diff(const HttpRequest &request);
    HttpResponse apply(const HttpRequest &request);
    HttpResponse promote(const HttpRequest &request);
    HttpResponse history(const HttpRequest &request);
    HttpResponse document(const HttpRequest &request);
    HttpResponse status(const HttpRequest &request);
    ///@}

    /** @name Work and machines */
    ///@{
    HttpResponse totals(const HttpRequest &request);
    HttpResponse listJobs(const HttpRequest &request);
    HttpResponse getJob(const HttpRequest &request, const std::string &id);
    HttpResponse cancelJob(const HttpRequest &request, const std::string &id);
    HttpResponse workers(const HttpRequest &request);
    HttpResponse endpoints(const HttpRequest &request);
    HttpResponse guarantees(const HttpRequest &request);
    HttpResponse explain(const HttpRequest &request, const std::string &id);
    HttpResponse timeline(const HttpRequest &request);
    ///@}

private:
    /** An accepted document with its parsed form, which is empty for an empty environment. */
    struct Target {
        AcceptedDocument accepted;
        std::optional<Document> document;
    };
    struct JobRow {
        JobRecord record;
        RowVersion version;
    };

    MonotonicTime deadline(Duration wait) const;
    std::optional<Target> readTarget(const std::string &environment, HttpResponse &refusal);
    /** The operator who may read, or no value with the refusal. */
    std::optional<std::string> reader(const HttpRequest &request, HttpResponse &refusal);
    /** The environment that a reading request names, or no value with the refusal. */
    std::optional<std::string> readableEnvironment(const HttpRequest &request, HttpResponse &refusal);
    /** The operator who may change an environment, or no value with the refusal. */
    std::optional<std::string> writer(const HttpRequest &request, const Target &target, HttpResponse &refusal) const;
    HttpResponse accept(const std::string &environment,
                        const std::string &text,
                        DocumentVersion base,
                        const std::string &operatorName);
    std::optional<HttpResponse> whyNotInTrial(const Target &trial, const std::string &digest) const;
    Json environmentJson(const std::string &environment);
    std::optional<JobRow> readJob(const std::string &id, HttpResponse &refusal);
    std::optional<std::vector<JobRecord>> runningJobs(HttpResponse &refusal);
    std::optional<Json> listedVms(const std::string &role, HttpResponse &refusal);

    OperatorHooks m_hooks;
    DocumentLedger m_documents;
    TotalsLedger m_totals;
};

} // namespace coriander
