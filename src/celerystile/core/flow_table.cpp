#include "celerystile/core/flow_table.hpp"

namespace celerystile::core {

static_assert(sizeof(FlowTable::Map::value_type) <= 64, "a flow record must stay within 64 bytes");

FlowRecord* FlowTable::find(const FlowKey& key)
{
    const auto found = map_.find(key);
    return found == map_.end() ? nullptr : &found->second;
}

FlowRecord& FlowTable::add(const FlowKey& key, const FlowRecord& record)
{
    const auto [entry, added] = map_.emplace(key, record);
    if (added)
        ++countOf(record.state);
    return entry->second;
}

void FlowTable::remove(const FlowKey& key)
{
    const auto found = map_.find(key);
    if (found == map_.end())
        return;
    --countOf(found->second.state);
    map_.erase(found);
}

void FlowTable::setState(FlowRecord& record, FlowState state)
{
    --countOf(record.state);
    record.state = state;
    ++countOf(state);
}

} // namespace celerystile::core
