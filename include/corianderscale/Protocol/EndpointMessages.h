#pragma once

#include "corianderscale/Protocol/JsonReader.h"

#include <string>
#include <vector>

namespace coriander {

/** Header names of `POST /v1/run/{service}`. */
inline constexpr char AttemptIdHeader[] = "Attempt-Id";
inline constexpr char StartByHeader[] = "Start-By-Unix-Ms";
inline constexpr char ContentDigestHeader[] = "Content-Digest";

/** `GET /v1/endpoint`: what an endpoint is. */
struct EndpointInfo {
    EndpointId id;
    /** Changes with each start; an endpoint that restarted has forgotten its attempts. */
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

/** Body of every refusal of an endpoint. */
struct EndpointRefusal {
    /** `slot-full`, `already-seen`, `fenced`, `too-late`, `leaving`, `unknown-service`. */
    std::string code;
    /** Whether the attempt had started; false proves that it did not run. */
    bool started = false;

    Json toJson() const;
    static EndpointRefusal fromJson(JsonReader &reader);
};

/** `GET /v1/attempts/{id}` and `POST /v1/attempts/{id}/fence`. */
struct AttemptStatus {
    AttemptId attempt;
    /** Incarnation that answers; an attempt sent to an earlier one may have run unseen. */
    InstanceId incarnation;
    /** `unknown`, `running` or `done`. */
    std::string state = "unknown";
    /** Whether the endpoint promises never to start the attempt. */
    bool fenced = false;
    /** The kept answer, when done. */
    std::string answer;
    std::string contentDigest;

    Json toJson() const;
    static AttemptStatus fromJson(JsonReader &reader);
};

/** xxh64 of @p body as 16 lower-case hexadecimal digits, the value of Content-Digest. */
std::string contentDigest(std::string_view body);

} // namespace coriander
