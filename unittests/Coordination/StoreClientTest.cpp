#include "corianderscale/Coordination/StoreClient.h"

#include "corianderscale/Standin/TableModel.h"
#include "corianderscale/Transport/HttpServer.h"

#include <gtest/gtest.h>

#include <future>

#include "Support/TestAddress.h"

namespace coriander {
namespace {

/** Adds the routes of the platform that the test uses. */
void addRoutes(HttpServer &server, std::map<std::string, std::string> &objects)
{
    server.route("PUT", "/objects/{key}", [&](const HttpRequest &request, const auto &captures, HttpRespond respond) {
        objects[captures.front()] = request.body;
        respond(jsonResponse(200, "{}"));
    });
    server.route("GET", "/objects/{key}", [&](const HttpRequest &, const auto &captures, HttpRespond respond) {
        const auto object = objects.find(captures.front());
        HttpResponse response;
        response.status = object == objects.end() ? 404 : 200;
        response.body = object == objects.end() ? "{}" : object->second;
        respond(response);
    });
    server.route("POST", "/table/txn", [](const HttpRequest &, const auto &, HttpRespond respond) {
        respond(jsonResponse(200, R"({"committed":true,"version":7})"));
    });
}

// Guards against object keys with slashes that do not match the platform's route, and against a client whose thread
// does not drive the engine.
TEST(StoreClient, usesThePlatformProtocol)
{
    std::map<std::string, std::string> objects;
    HttpServer server(testAddress(8), {});
    addRoutes(server, objects);
    TransportError error;
    ASSERT_TRUE(server.start(error)) << error.reason;
    const Clock clock = systemClock();
    const MonotonicTime deadline = clock.now() + std::chrono::seconds(20);
    {
        StoreClient store({testAddress(8), {}}, clock);
        std::promise<bool> put;
        store.putObject("snapshots/dc1/3-4", "text", deadline, [&](bool written, const CoordinationError &) {
            put.set_value(written);
        });
        EXPECT_TRUE(put.get_future().get());
        EXPECT_EQ(objects.count("snapshots/dc1/3-4"), 1U);
        std::promise<std::optional<std::string>> got;
        store.getObject("snapshots/dc1/3-4", deadline, [&](std::optional<std::string> content, const auto &) {
            got.set_value(std::move(content));
        });
        EXPECT_EQ(got.get_future().get(), "text");
        CoordinationError reason;
        const auto result = commitAndWait(store, {OperationId("o"), {}, {{"k", "v"}}, {}}, deadline, reason);
        ASSERT_TRUE(result) << reason.reason;
        EXPECT_EQ(result->version, RowVersion(7));
    }
    server.stop(clock.now() + std::chrono::seconds(1));
}

} // namespace
} // namespace coriander
