#include "corianderscale/State/Document.h"

#include "corianderscale/Support/Digest.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace coriander {
namespace {

/** Returns a document with one organisation; tests replace parts of it. */
std::string sampleDocument()
{
    return fmt::format(R"(site: sample
time_zone: Europe/Rome
data_centres:
  - name: palermo
    region: west
    racks:
      - {{ name: r1, workers: 2, cores: 32, memory_gib: 64, accelerators: 8 }}
services:
  - name: confirm
    idempotent: false
organisations:
  - name: diocese
    accelerator_quota: 16
    guarantees:
      - {{ data_centre: palermo, accelerators: 16, adjacency: rack, count: 1 }}
    callers:
      - name: desk
        token_digest: {}
operators:
  - name: rosalia
    token_digest: {}
)",
                       sha256Hex("desk-token"),
                       sha256Hex("operator-token"));
}

std::string sampleWith(const std::string &from, const std::string &to)
{
    std::string text = sampleDocument();
    const std::size_t at = text.find(from);
    EXPECT_NE(at, std::string::npos) << from;
    return text.replace(at, from.size(), to);
}

std::vector<YamlFault> faultsOf(const std::string &text)
{
    std::vector<YamlFault> faults;
    const auto document = parseDocument(text, "d.yaml", faults);
    EXPECT_EQ(document.has_value(), faults.empty());
    return faults;
}

/** Expects exactly one fault, at @p key, whose text contains @p expected. */
void expectFault(const std::string &text, const std::string &key, const std::string &expected)
{
    const std::vector<YamlFault> faults = faultsOf(text);
    ASSERT_EQ(faults.size(), 1U) << text;
    EXPECT_EQ(faults[0].key, key);
    EXPECT_NE(faults[0].expected.find(expected), std::string::npos) << faults[0].toString();
    EXPECT_GT(faults[0].line, 0) << faults[0].toString();
}

// Guards against fields that are read from the wrong key or in the wrong unit.
TEST(Document, readsAllParts)
{
    std::vector<YamlFault> faults;
    const auto document = parseDocument(sampleDocument(), "d.yaml", faults);
    ASSERT_TRUE(document) << faults.front().toString();
    const RackSpec &rack = document->dataCentres.at(0).racks.at(0);
    EXPECT_EQ(rack.perWorker.cores, MilliCores(32000));
    EXPECT_EQ(rack.perWorker.memory, MemoryMib(65536));
    EXPECT_FALSE(document->findService(ServiceName("confirm"))->idempotent);
    const OrganisationSpec *organisation = document->findOrganisation(OrganisationId("diocese"));
    ASSERT_NE(organisation, nullptr);
    EXPECT_EQ(organisation->guarantees.at(0).accelerators, Accelerators(16));
    EXPECT_EQ(organisation->callers.at(0).tokenDigest, sha256Hex("desk-token"));
    EXPECT_EQ(document->findDataCentre(DataCentreId("catania")), nullptr);
}

// Guards against a digest that differs from the SHA-256 of other programs.
TEST(Document, digestIsSha256)
{
    EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against faults that are reported at the wrong line or column.
TEST(Document, faultNamesLineAndColumn)
{
    const auto faults = faultsOf(sampleWith("idempotent: false", "idempotent: perhaps"));
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_EQ(faults[0].toString(), "d.yaml:10:17: services[0].idempotent: expected true or false");
}

// Guards against misspelt, repeated and duplicate entries that are accepted silently.
TEST(Document, rejectsUnknownRepeatedAndDuplicateEntries)
{
    expectFault(
        sampleWith("accelerator_quota", "acelerator_quota"), "organisations[0].acelerator_quota", "unknown key");
    expectFault(
        sampleWith("    region: west", "    region: west\n    region: east"), "data_centres[0].region", "repeated key");
    expectFault(sampleWith("operators:", "operators:\n  - name: rosalia\n    token_digest: " + sha256Hex("x")),
                "operators[1].name",
                "duplicate name");
    expectFault(sampleDocument() + "---\nsite: other\n", "", "one YAML document");
    expectFault(sampleWith("site: sample", "site: ''"), "site", "not empty");
}

// Guards against token digests that are malformed, empty or shared by two holders.
TEST(Document, rejectsInvalidTokenDigests)
{
    const std::string digest = sha256Hex("desk-token");
    const std::string key = "organisations[0].callers[0].token_digest";
    expectFault(sampleWith(digest, "desk-token"), key, "64 lower-case hexadecimal digits");
    expectFault(sampleWith(digest, sha256Hex("")), key, "empty token");
    expectFault(sampleWith(digest, sha256Hex("operator-token")), "operators[0].token_digest", "another caller");
}

// Guards against time zones by which the days of the totals would differ between machines.
TEST(Document, rejectsUnknownTimeZones)
{
    for (const char *zone : {"Europe/Palermo", "localtime", "/etc/localtime", "../zoneinfo/UTC"}) {
        expectFault(sampleWith("Europe/Rome", zone), "time_zone", "unknown time zone");
    }
}

// Guards against guarantees that can never be met: too large for the racks or the quota, or in an unknown data centre.
TEST(Document, rejectsGuaranteesThatDoNotFit)
{
    expectFault(
        sampleWith("accelerators: 16, adjacency: rack, count: 1", "accelerators: 16, adjacency: worker, count: 1"),
        "data_centres[0].racks",
        "cannot be given at once");
    expectFault(sampleWith("accelerator_quota: 16", "accelerator_quota: 15"),
                "organisations[0].guarantees",
                "at most the accelerator_quota of 15");
    expectFault(sampleWith("data_centre: palermo", "data_centre: enna"),
                "organisations[0].guarantees",
                "unknown data centre 'enna'");
}

// Guards against aliases whose expansion takes unbounded time and memory.
TEST(Document, rejectsAliasesThatExpandExponentially)
{
    std::string text = "a0: &a0 [x, x, x, x, x, x, x, x]\n";
    for (int i = 1; i < 10; ++i) {
        text += fmt::format("a{0}: &a{0} [*a{1}, *a{1}, *a{1}, *a{1}, *a{1}, *a{1}, *a{1}, *a{1}]\n", i, i - 1);
    }
    const auto faults = faultsOf(text);
    ASSERT_EQ(faults.size(), 1U);
    EXPECT_NE(faults[0].expected.find("aliases"), std::string::npos);
}

// Guards against reporting only the first fault.
TEST(Document, reportsAllFaultsTogether)
{
    EXPECT_GE(faultsOf("site: A\ntime_zone: Nowhere\nsurprise: 1\n").size(), 5U);
}

// Guards against published examples that the parser rejects.
TEST(Document, acceptsTheExamples)
{
    for (const char *name : {"trinacria", "saltmist", "demo"}) {
        std::vector<YamlFault> faults;
        const auto content = readTextFile(
            std::string(CORIANDER_SOURCE_DIR "/examples/") + name + ".yaml", MaximumDocumentBytes, faults);
        ASSERT_TRUE(content);
        EXPECT_TRUE(parseDocument(*content, name, faults)) << faults.front().toString();
    }
}

} // namespace
} // namespace coriander
