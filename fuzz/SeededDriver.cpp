// Runs a fuzz target on inputs mutated from a folder of seed files. The same seed gives the same inputs.

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <string>
#include <sys/resource.h>
#include <vector>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size);

namespace {

constexpr std::size_t MaximumInputBytes = 64 * 1024;
constexpr int MaximumMutationsPerInput = 8;
constexpr rlim_t MaximumMemoryBytes = 1024UL * 1024 * 1024;

/** Fragments that parsers tend to mishandle. */
const std::vector<std::string> Fragments = {
    "{",     "}",        "[",  "]",          "\"",   ":",  ",",    "null", "true", "-1",  "9223372036854775808",
    "1e999", "\\u0000",  "&a", "*a",         "\xff", "\n", "  - ", "!!",   "../",  "%2F", "18446744073709551615",
    "0",     "\xe2\x82", "<<", "0x7fffffff", "|",    "\t", "'",
};

std::vector<std::string> readSeeds(const std::filesystem::path &folder)
{
    std::vector<std::filesystem::path> files;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        files.push_back(entry.path());
    }
    std::sort(files.begin(), files.end());
    std::vector<std::string> seeds;
    for (const auto &file : files) {
        std::ifstream stream(file, std::ios::binary);
        seeds.emplace_back(std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>());
    }
    return seeds;
}

class Mutator
{
public:
    Mutator(std::vector<std::string> seeds, std::uint64_t seed)
        : m_seeds(std::move(seeds))
        , m_random(seed)
    {
    }

    std::string next()
    {
        std::string input = m_seeds[randomBelow(m_seeds.size())];
        const std::size_t mutations = 1 + randomBelow(MaximumMutationsPerInput);
        for (std::size_t i = 0; i < mutations; ++i) {
            mutate(input);
        }
        input.resize(std::min(input.size(), MaximumInputBytes));
        return input;
    }

private:
    std::size_t randomBelow(std::size_t limit)
    {
        return limit == 0 ? 0 : m_random() % limit;
    }

    void mutate(std::string &input)
    {
        const std::size_t offset = randomBelow(input.size() + 1);
        switch (randomBelow(6)) {
        case 0:
            if (offset < input.size()) {
                input[offset] = static_cast<char>(input[offset] ^ (1 << randomBelow(8)));
            }
            break;
        case 1:
            input.insert(offset, 1, static_cast<char>(randomBelow(256)));
            break;
        case 2:
            input.erase(offset, 1 + randomBelow(16));
            break;
        case 3:
            input.insert(offset, Fragments[randomBelow(Fragments.size())]);
            break;
        case 4:
            input.insert(offset, input.substr(randomBelow(input.size() + 1), 1 + randomBelow(64)));
            break;
        default: {
            const std::string &other = m_seeds[randomBelow(m_seeds.size())];
            input = input.substr(0, offset) + other.substr(randomBelow(other.size() + 1));
            break;
        }
        }
    }

    std::vector<std::string> m_seeds;
    std::mt19937_64 m_random;
};

std::string escaped(const std::string &input)
{
    constexpr char Digits[] = "0123456789abcdef";
    std::string text;
    for (const unsigned char c : input) {
        if (c >= ' ' && c < 0x7f && c != '\\') {
            text += static_cast<char>(c);
        } else {
            text += {'\\', 'x', Digits[c >> 4], Digits[c & 15]};
        }
    }
    return text;
}

/** Limits the address space, so that an input that exhausts memory fails the run instead of slowing the machine. */
void limitMemory()
{
    const rlimit limit = {MaximumMemoryBytes, MaximumMemoryBytes};
    setrlimit(RLIMIT_AS, &limit);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 6 || std::string(argv[1]) != "--runs" || std::string(argv[3]) != "--seed") {
        std::cerr << "usage: " << argv[0] << " --runs N --seed S FOLDER\n";
        return 2;
    }
    limitMemory();
    const long runs = std::strtol(argv[2], nullptr, 10);
    const std::uint64_t seed = std::strtoull(argv[4], nullptr, 10);
    std::vector<std::string> seeds = readSeeds(argv[5]);
    if (seeds.empty()) {
        std::cerr << argv[5] << ": contains no seed files\n";
        return 2;
    }
    Mutator mutator(std::move(seeds), seed);
    for (long run = 0; run < runs; ++run) {
        const std::string input = mutator.next();
        try {
            LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t *>(input.data()), input.size());
        } catch (const std::exception &exception) {
            std::cerr << "run " << run << ": exception " << exception.what() << "\ninput: " << escaped(input) << '\n';
            return 1;
        }
    }
    std::cout << runs << " inputs, seed " << seed << ": no failure\n";
    return 0;
}
