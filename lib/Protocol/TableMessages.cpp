#include "corianderscale/Protocol/TableMessages.h"

namespace coriander {

namespace {

template<typename Message>
Json listToJson(const std::vector<Message> &messages)
{
    Json list = Json::array();
    for (const Message &message : messages) {
        list.push_back(message.toJson());
    }
    return list;
}

template<typename Message>
std::vector<Message> listFromJson(JsonReader &reader, const std::string &key)
{
    std::vector<Message> list;
    reader.forEachObject(key, [&list](JsonReader &item) { list.push_back(Message::fromJson(item)); });
    return list;
}

std::vector<std::string> textsFromJson(JsonReader &reader, const std::string &key)
{
    std::vector<std::string> list;
    reader.forEachText(key, [&list](const std::string &text) { list.push_back(text); });
    return list;
}

} // namespace

Json TableRow::toJson() const
{
    return {{"key", key}, {"value", value}, {"version", version.count()}};
}

TableRow TableRow::fromJson(JsonReader &reader)
{
    TableRow row;
    row.key = reader.requiredText("key");
    row.value = reader.text("value");
    row.version = reader.requiredQuantity<RowVersion>("version");
    return row;
}

Json TableCondition::toJson() const
{
    return {{"key", key}, {"version", version.count()}};
}

TableCondition TableCondition::fromJson(JsonReader &reader)
{
    TableCondition condition;
    condition.key = reader.requiredText("key");
    condition.version = reader.requiredQuantity<RowVersion>("version");
    return condition;
}

Json TablePut::toJson() const
{
    return {{"key", key}, {"value", value}};
}

TablePut TablePut::fromJson(JsonReader &reader)
{
    TablePut put;
    put.key = reader.requiredText("key");
    put.value = reader.requiredText("value", MaximumRowValueBytes);
    return put;
}

Json TableTransaction::toJson() const
{
    return {{"operation", operation.value()},
            {"conditions", listToJson(conditions)},
            {"puts", listToJson(puts)},
            {"deletes", deletes}};
}

TableTransaction TableTransaction::fromJson(JsonReader &reader)
{
    TableTransaction transaction;
    transaction.operation = reader.requiredId<OperationId>("operation");
    transaction.conditions = listFromJson<TableCondition>(reader, "conditions");
    transaction.puts = listFromJson<TablePut>(reader, "puts");
    transaction.deletes = textsFromJson(reader, "deletes");
    if (transaction.puts.size() + transaction.deletes.size() > MaximumTransactionWrites) {
        reader.fault("puts", "expected at most 100 puts and deletes together");
    }
    return transaction;
}

Json TableTransactionResult::toJson() const
{
    return {{"committed", committed}, {"version", version.count()}, {"conflicts", listToJson(conflicts)}};
}

TableTransactionResult TableTransactionResult::fromJson(JsonReader &reader)
{
    TableTransactionResult result;
    result.committed = reader.boolean("committed", false);
    result.version = RowVersion(reader.integer("version", 0));
    result.conflicts = listFromJson<TableCondition>(reader, "conflicts");
    return result;
}

Json TableRead::toJson() const
{
    return {{"keys", keys}};
}

TableRead TableRead::fromJson(JsonReader &reader)
{
    return {textsFromJson(reader, "keys")};
}

Json TableScan::toJson() const
{
    return {{"prefix", prefix}, {"after", after}, {"limit", limit}};
}

TableScan TableScan::fromJson(JsonReader &reader)
{
    TableScan scan;
    scan.prefix = reader.text("prefix");
    scan.after = reader.text("after");
    scan.limit = reader.integer("limit", scan.limit, 1, 10000);
    return scan;
}

Json TableRows::toJson() const
{
    return {{"rows", listToJson(rows)}, {"more", more}};
}

TableRows TableRows::fromJson(JsonReader &reader)
{
    TableRows rows;
    rows.rows = listFromJson<TableRow>(reader, "rows");
    rows.more = reader.boolean("more", false);
    return rows;
}

Json VmEntry::toJson() const
{
    return {{"id", id},
            {"role", role},
            {"dataCentre", dataCentre.value()},
            {"address", address},
            {"peerAddress", peerAddress},
            {"state", state}};
}

VmEntry VmEntry::fromJson(JsonReader &reader)
{
    VmEntry entry;
    entry.id = reader.requiredText("id");
    entry.role = reader.requiredText("role");
    entry.dataCentre = reader.requiredId<DataCentreId>("dataCentre");
    entry.address = reader.text("address");
    entry.peerAddress = reader.text("peerAddress");
    entry.state = reader.text("state", "live");
    return entry;
}

Json VmList::toJson() const
{
    return {{"vms", listToJson(vms)}};
}

VmList VmList::fromJson(JsonReader &reader)
{
    return {listFromJson<VmEntry>(reader, "vms")};
}

} // namespace coriander
