#include "corianderscale/Protocol/EndpointMessages.h"

#include <fmt/format.h>
#include <xxhash.h>

namespace coriander {

Json EndpointInfo::toJson() const
{
    Json names = Json::array();
    for (const ServiceName &service : services) {
        names.push_back(service.value());
    }
    return {{"id", id.value()},
            {"incarnation", incarnation.value()},
            {"dataCentre", dataCentre.value()},
            {"state", state},
            {"services", std::move(names)},
            {"slots", slots},
            {"slotsUsed", slotsUsed},
            {"connections", connections}};
}

EndpointInfo EndpointInfo::fromJson(JsonReader &reader)
{
    EndpointInfo info;
    info.id = reader.requiredId<EndpointId>("id");
    info.incarnation = reader.requiredId<InstanceId>("incarnation");
    info.dataCentre = reader.requiredId<DataCentreId>("dataCentre");
    info.state = reader.text("state", "live");
    reader.forEachText("services", [&info](const std::string &name) { info.services.emplace_back(name); });
    info.slots = reader.requiredInteger("slots");
    info.slotsUsed = reader.integer("slotsUsed", 0);
    info.connections = reader.integer("connections", 0);
    return info;
}

Json EndpointRefusal::toJson() const
{
    return {{"code", code}, {"started", started}};
}

EndpointRefusal EndpointRefusal::fromJson(JsonReader &reader)
{
    EndpointRefusal refusal;
    refusal.code = reader.requiredText("code");
    // A refusal without this field does not prove that the attempt did not run, so it counts as started.
    refusal.started = reader.boolean("started", true);
    return refusal;
}

Json AttemptStatus::toJson() const
{
    return {{"attempt", attempt.value()},
            {"incarnation", incarnation.value()},
            {"state", state},
            {"fenced", fenced},
            {"answer", answer},
            {"contentDigest", contentDigest}};
}

AttemptStatus AttemptStatus::fromJson(JsonReader &reader)
{
    AttemptStatus status;
    status.attempt = reader.requiredId<AttemptId>("attempt");
    status.incarnation = reader.requiredId<InstanceId>("incarnation");
    status.state = reader.requiredText("state");
    status.fenced = reader.boolean("fenced", false);
    status.answer = reader.text("answer", {}, MaximumMessageBytes);
    status.contentDigest = reader.text("contentDigest");
    return status;
}

std::string contentDigest(std::string_view body)
{
    return fmt::format("{:016x}", XXH64(body.data(), body.size(), 0));
}

} // namespace coriander
