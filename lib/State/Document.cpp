#include "corianderscale/State/Document.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>

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

std::string sha256Hex(std::string_view text)
{
    constexpr char Digits[] = "0123456789abcdef";
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned int i = 0; i < size; ++i) {
        hex += Digits[digest[i] >> 4U];
        hex += Digits[digest[i] & 15U];
    }
    return hex;
}

} // namespace coriander
