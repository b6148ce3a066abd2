#pragma once

#include "corianderscale/Protocol/JsonReader.h"

#include <string>
#include <vector>

namespace coriander {

/** The most bytes of one value of the table service. */
inline constexpr std::size_t MaximumRowValueBytes = 64 * 1024;
/** The most puts and deletes of one transaction. */
inline constexpr std::size_t MaximumTransactionWrites = 100;

/** One row of the table service. Version 0 means that the row is absent. */
struct TableRow {
    std::string key;
    std::string value;
    RowVersion version;

    Json toJson() const;
    static TableRow fromJson(JsonReader &reader);
};

/** A row that a transaction expects at a version; version 0 expects it to be absent. */
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
    /** Names the write; a repeated operation returns the first outcome for ten minutes. */
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
    /** Version that all written rows have now; set when committed. */
    RowVersion version;
    /** The conditions that did not hold, with the versions found. */
    std::vector<TableCondition> conflicts;

    Json toJson() const;
    static TableTransactionResult fromJson(JsonReader &reader);
};

/** `POST /table/read`. The answer holds one row for each key, absent ones with version 0. */
struct TableRead {
    std::vector<std::string> keys;

    Json toJson() const;
    static TableRead fromJson(JsonReader &reader);
};

/** `POST /table/scan`: rows whose key starts with @c prefix and is greater than @c after, in key order. */
struct TableScan {
    std::string prefix;
    std::string after;
    std::int64_t limit = 1000;

    Json toJson() const;
    static TableScan fromJson(JsonReader &reader);
};

/** Answer to a read or a scan. */
struct TableRows {
    std::vector<TableRow> rows;
    /** Whether a scan has further rows. */
    bool more = false;

    Json toJson() const;
    static TableRows fromJson(JsonReader &reader);
};

/** One VM of the platform's lagging list. */
struct VmEntry {
    std::string id;
    /** `entry`, `worker` or `endpoint`. */
    std::string role;
    DataCentreId dataCentre;
    /** Base address of its HTTP interface, such as `http://127.0.0.1:8080`. For entry VMs the gateway's. */
    std::string address;
    /** `address:port` of its peer streams; empty for workers and endpoints. */
    std::string peerAddress;
    /** `live` or `leaving`. */
    std::string state = "live";

    Json toJson() const;
    static VmEntry fromJson(JsonReader &reader);
};

/** `GET /vms`. */
struct VmList {
    std::vector<VmEntry> vms;

    Json toJson() const;
    static VmList fromJson(JsonReader &reader);
};

} // namespace coriander
