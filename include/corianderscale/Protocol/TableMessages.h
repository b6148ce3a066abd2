#pragma once

#include "corianderscale/Protocol/JsonReader.h"

#include <string>
#include <vector>

namespace coriander {

/** Limit on one value of the table service, in bytes. */
inline constexpr std::size_t MaximumRowValueBytes = 64 * 1024;
/** Limit on the puts and deletes of one transaction together. */
inline constexpr std::size_t MaximumTransactionWrites = 100;

/** One row of the table service. Version 0 means that the row is absent. */
struct TableRow {
    std::string key;
    std::string value;
    RowVersion version;

    Json toJson() const;
    static TableRow fromJson(JsonReader &reader);
};

/** The version that a transaction requires of a row; version 0 requires that the row is absent. */
struct TableCondition {
    std::string key;
    RowVersion version;

    Json toJson() const;
    static TableCondition fromJson(JsonReader &reader);
};

/** New value of one row. */
struct TablePut {
    std::string key;
    std::string value;

    Json toJson() const;
    static TablePut fromJson(JsonReader &reader);
};

/** `POST /table/txn`: all writes take effect together, or none when a condition does not hold. */
struct TableTransaction {
    /** Idempotency key of the write; for ten minutes, a repeated operation returns the first outcome. */
    OperationId operation;
    std::vector<TableCondition> conditions;
    std::vector<TablePut> puts;
    std::vector<std::string> deletes;

    Json toJson() const;
    static TableTransaction fromJson(JsonReader &reader);
};

/** Outcome of a transaction. */
struct TableTransactionResult {
    bool committed = false;
    /** New version of all written rows; set when committed. */
    RowVersion version;
    /** The conditions that did not hold, with the versions found. */
    std::vector<TableCondition> conflicts;

    Json toJson() const;
    static TableTransactionResult fromJson(JsonReader &reader);
};

/** Body of `POST /table/read`. The response has one row for each key; absent rows have version 0. */
struct TableRead {
    std::vector<std::string> keys;

    Json toJson() const;
    static TableRead fromJson(JsonReader &reader);
};

/** Body of `POST /table/scan`: requests the rows with a key that has @c prefix and is above @c after, in key order. */
struct TableScan {
    std::string prefix;
    std::string after;
    std::int64_t limit = 1000;

    Json toJson() const;
    static TableScan fromJson(JsonReader &reader);
};

/** Response to a read or a scan. */
struct TableRows {
    std::vector<TableRow> rows;
    /** Whether a scan has further rows. */
    bool more = false;

    Json toJson() const;
    static TableRows fromJson(JsonReader &reader);
};

/** One VM in the platform's VM list, which lags behind the actual state. */
struct VmEntry {
    std::string id;
    /** `entry`, `worker` or `endpoint`. */
    std::string role;
    DataCentreId dataCentre;
    /** Base address of its HTTP interface, such as `http://127.0.0.1:8080`; that of the gateway for entry VMs. */
    std::string address;
    /** `address:port` of its peer streams; empty for workers and endpoints. */
    std::string peerAddress;
    /** `live` or `leaving`. */
    std::string state = "live";

    Json toJson() const;
    static VmEntry fromJson(JsonReader &reader);
};

/** Response to `GET /vms`. */
struct VmList {
    std::vector<VmEntry> vms;

    Json toJson() const;
    static VmList fromJson(JsonReader &reader);
};

} // namespace coriander
