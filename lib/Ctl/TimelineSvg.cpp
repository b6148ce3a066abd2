#include "corianderscale/Ctl/TimelineSvg.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>

namespace coriander {

namespace {

// Sizes in SVG user units.
constexpr int LaneHeight = 70;
constexpr int LaneLabelWidth = 230;
/** Horizontal distance between consecutive events. */
constexpr int EventDistance = 90;
constexpr int TopMargin = 40;

/** Log fields that connect events of different instances. Only the values must be equal; the keys may differ. */
constexpr std::array ConnectingKeys = {"job", "request", "attempt", "worker", "key"};

std::string escaped(const std::string &text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

class SvgWriter
{
public:
    explicit SvgWriter(const std::vector<MergedEvent> &events)
        : m_events(events)
    {
        for (const MergedEvent &event : events) {
            m_lanes.emplace(event.instance, static_cast<int>(m_lanes.size()));
        }
    }

    std::string write()
    {
        const int width = LaneLabelWidth + EventDistance * (static_cast<int>(m_events.size()) + 1);
        const int height = TopMargin + LaneHeight * static_cast<int>(m_lanes.size());
        m_text = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" "
                             "viewBox=\"0 0 {0} {1}\" font-family=\"sans-serif\" font-size=\"10\">\n"
                             "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n",
                             width,
                             height);
        writeLanes(width);
        writeConnections();
        for (std::size_t i = 0; i < m_events.size(); ++i) {
            writeEvent(i);
        }
        return m_text + "</svg>\n";
    }

private:
    int x(std::size_t index) const
    {
        return LaneLabelWidth + EventDistance / 2 + EventDistance * static_cast<int>(index);
    }

    int y(const InstanceId &instance) const
    {
        return TopMargin + LaneHeight * m_lanes.at(instance) + LaneHeight / 2;
    }

    void writeLanes(int width)
    {
        for (const auto &[instance, lane] : m_lanes) {
            m_text += fmt::format("<line x1=\"{}\" y1=\"{}\" x2=\"{}\" y2=\"{}\" stroke=\"#bbb\"/>\n",
                                  LaneLabelWidth,
                                  y(instance),
                                  width,
                                  y(instance));
            m_text += fmt::format(
                "<text x=\"8\" y=\"{}\" font-size=\"12\">{}</text>\n", y(instance) + 4, escaped(instance.value()));
        }
    }

    void writeConnections()
    {
        std::map<std::string, std::size_t> lastWithValue;
        for (std::size_t i = 0; i < m_events.size(); ++i) {
            for (const LogField &field : m_events[i].event.fields) {
                if (std::find(ConnectingKeys.begin(), ConnectingKeys.end(), field.key) == ConnectingKeys.end()) {
                    continue;
                }
                const auto [last, isNew] = lastWithValue.try_emplace(field.value, i);
                if (!isNew) {
                    connect(last->second, i);
                    last->second = i;
                }
            }
        }
    }

    void connect(std::size_t from, std::size_t to)
    {
        if (m_events[from].instance == m_events[to].instance) {
            return;
        }
        m_text
            += fmt::format("<line x1=\"{}\" y1=\"{}\" x2=\"{}\" y2=\"{}\" stroke=\"#3778b5\" stroke-width=\"1.2\"/>\n",
                           x(from),
                           y(m_events[from].instance),
                           x(to),
                           y(m_events[to].instance));
    }

    void writeEvent(std::size_t index)
    {
        const MergedEvent &event = m_events[index];
        const double offsetMs
            = static_cast<double>(event.event.time.wallUs - m_events.front().event.time.wallUs) / 1000;
        std::string title = event.event.event;
        for (const LogField &field : event.event.fields) {
            title += " " + formatLogField(field);
        }
        const int centre = y(event.instance);
        m_text += fmt::format("<g><title>{}</title><circle cx=\"{}\" cy=\"{}\" r=\"4\" fill=\"#c0392b\"/>",
                              escaped(title),
                              x(index),
                              centre);
        m_text += fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"middle\">{}</text>",
                              x(index),
                              centre - 10,
                              escaped(event.event.event));
        m_text += fmt::format("<text x=\"{}\" y=\"{}\" text-anchor=\"middle\" fill=\"#777\">+{:.1f} ms</text></g>\n",
                              x(index),
                              centre + 18,
                              offsetMs);
    }

    const std::vector<MergedEvent> &m_events;
    std::map<InstanceId, int> m_lanes;
    std::string m_text;
};

} // namespace

std::string timelineSvg(const std::vector<MergedEvent> &events)
{
    return SvgWriter(events).write();
}

} // namespace coriander
