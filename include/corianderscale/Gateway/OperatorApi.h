#pragma once

#include "corianderscale/Gateway/OperatorRoutes.h"
#include "corianderscale/State/TotalsLedger.h"

#include <string>
#include <vector>

namespace coriander {

/**
 * Handlers of the operators' calls. Each method takes the request and the captures of its path, and returns the
 * response.
 *
 * The methods block until the store answers. Thread safety: any thread on which the store does not complete its calls.
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
    /** An accepted document and its parsed form; the parsed form has no value when the environment has no document. */
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
    /** Authenticates the operator of a reading call; otherwise sets @p refusal and returns no value. */
    std::optional<std::string> authenticateReader(const HttpRequest &request, HttpResponse &refusal);
    /** Authenticates a reading call and returns its environment; otherwise sets @p refusal and returns no value. */
    std::optional<std::string> readableEnvironment(const HttpRequest &request, HttpResponse &refusal);
    /** Authenticates the operator of a call that changes @p target; otherwise sets @p refusal and returns no value. */
    std::optional<std::string> authenticateWriter(const HttpRequest &request,
                                                  const Target &target,
                                                  HttpResponse &refusal) const;
    HttpResponse accept(const std::string &environment,
                        const std::string &text,
                        DocumentVersion base,
                        const std::string &operatorName);
    std::optional<HttpResponse> checkPromotable(const Target &trial, const std::string &digest) const;
    Json environmentJson(const std::string &environment);
    std::optional<JobRow> readJob(const std::string &id, HttpResponse &refusal);
    std::optional<std::vector<JobRecord>> runningJobs(HttpResponse &refusal);
    std::optional<Json> listedVms(const std::string &role, HttpResponse &refusal);

    OperatorHooks m_hooks;
    DocumentLedger m_documents;
    TotalsLedger m_totals;
};

} // namespace coriander
