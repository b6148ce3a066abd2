#include "corianderscale/Workflow/TableFollower.h"

#include "Workflow/FakeRowStore.h"

namespace coriander::workflow {
namespace {

using std::chrono::seconds;

// Guards against a follower that falls behind for ever, because more rows change in its pause than one answer holds. At
// 3,000 workers 2,000 rows change in a second; an owner then learns seconds late that a worker drains.
TEST(TableFollower, changesThatFillAPageAreReadWithoutAPause)
{
    Timeline timeline;
    FakeRowStore store(timeline);
    store.changesPerPage = 10;
    boost::asio::io_context loop;
    std::size_t changed = 0;
    TableFollower::Settings settings;
    settings.table = "t";
    settings.pause = milliseconds(20);
    TableFollower follower(
        loop,
        store,
        settings,
        {[](const std::vector<Row> &) {}, [&changed](const std::vector<Row> &rows) { changed += rows.size(); }, {}});
    follower.start();
    timeline.runFor(milliseconds(100));
    for (int i = 0; i < 95; ++i) {
        store.apply({{}, {{"t", "k" + std::to_string(i), "v", {}, false}}, {}});
    }
    timeline.runFor(seconds(1));
    EXPECT_EQ(changed, 1U) << "the first change ends the wait; the others come after the pause";
    loop.run_one();
    timeline.runFor(seconds(1));
    EXPECT_EQ(changed, 95U);
}

} // namespace
} // namespace coriander::workflow
