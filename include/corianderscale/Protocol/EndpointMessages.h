#pragma once

#include "corianderscale/Protocol/JsonReader.h"

#include <string>
#include <vector>

namespace coriander {

/** Header names of `POST /v1/run/{service}`. */
inline constexpr char AttemptIdHeader[] = "Attempt-Id";
inline constexpr char StartByHeader[] = "Start-By-Unix-Ms";
inline constexpr char ContentDigestHeader[] = "Content-Digest";

/** Response to `GET /v1/endpoint`: identity, services and load of an endpoint. */
struct EndpointInfo {
    EndpointId id;
    /** Changes with each start. A restarted endpoint does not know its earlier attempts. */
    InstanceId incarnation;
    DataCentreId dataCentre;
    /** `live` or `leaving`. */
    std::string state = "live";
    std::vector<ServiceName> services;
    std::int64_t slots = 0;
    std::int64_t slotsUsed = 0;
    std::int64_t connections = 0;

    Json toJson() const;
    static EndpointInfo fromJson(JsonReader &reader);
};

/** Body of every refusal that an endpoint sends. */
struct EndpointRefusal {
    /** `slot-full`, `already-seen`, `fenced`, `too-late`, `leaving`, `unknown-service`. */
    std::string code;
    /** Whether the attempt had been started; false proves that it did not run. */
    bool started = false;

    Json toJson() const;
    static EndpointRefusal fromJson(JsonReader &reader);
};

/** Response to `GET /v1/attempts/{id}` and `POST /v1/attempts/{id}/fence`. */
struct AttemptStatus {
    AttemptId attempt;
    /** Incarnation that responds. It does not know whether attempts sent to an earlier incarnation ran. */
    InstanceId incarnation;
    /** `unknown`, `running` or `done`. */
    std::string state = "unknown";
    /** Whether the endpoint guarantees that it will never start the attempt. */
    bool fenced = false;
    /** The stored answer when the state is `done`. */
    std::string answer;
    std::string contentDigest;

    Json toJson() const;
    static AttemptStatus fromJson(JsonReader &reader);
};

/** Returns the value of the Content-Digest header: xxh64 of @p body as 16 lower-case hexadecimal digits. */
std::string contentDigest(std::string_view body);

} // namespace coriander
