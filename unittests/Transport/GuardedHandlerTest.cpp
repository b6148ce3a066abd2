#include "corianderscale/Transport/GuardedHandler.h"

#include <gtest/gtest.h>

#include <stdexcept>
#include <vector>

namespace coriander {
namespace {

/** The status of each response to one request. */
std::vector<int> statusesOf(const AsyncHttpHandler &handler)
{
    std::vector<int> statuses;
    makeGuardedHandler(handler)({}, [&statuses](const HttpResponse &response) { statuses.push_back(response.status); });
    return statuses;
}

// Guards against one request whose handler throws and that ends the process, or gets no answer.
TEST(GuardedHandler, handlerThatThrowsIsAnsweredWith500)
{
    const auto throws = [](const HttpRequest &, const AsyncHttpRespond &) {
        throw std::runtime_error("the handler failed");
    };
    EXPECT_EQ(statusesOf(throws), std::vector<int>{500});
}

// Guards against a second answer to one request.
TEST(GuardedHandler, requestIsAnsweredOnce)
{
    const auto answersAndThrows = [](const HttpRequest &, const AsyncHttpRespond &respond) {
        respond(jsonResponse(200, "{}"));
        throw std::runtime_error("the handler failed");
    };
    EXPECT_EQ(statusesOf(answersAndThrows), std::vector<int>{200});
    const auto answers = [](const HttpRequest &, const AsyncHttpRespond &respond) {
        respond(jsonResponse(404, "{}"));
    };
    EXPECT_EQ(statusesOf(answers), std::vector<int>{404});
}

} // namespace
} // namespace coriander
