#include "corianderscale/State/Document.h"

#include <algorithm>

namespace coriander {

namespace {

template<typename Item, typename Id>
const Item *findById(const std::vector<Item> &items, const Id &id, Id Item::*member)
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const Item &item) { return item.*member == id; });
    return found == items.end() ? nullptr : &*found;
}

} // namespace

const ServiceSpec *Document::findService(const ServiceName &name) const
{
    return findById(services, name, &ServiceSpec::name);
}

const OrganisationSpec *Document::findOrganisation(const OrganisationId &id) const
{
    return findById(organisations, id, &OrganisationSpec::id);
}

const DataCentreSpec *Document::findDataCentre(const DataCentreId &id) const
{
    return findById(dataCentres, id, &DataCentreSpec::id);
}

} // namespace coriander
