#include "UntrustedCallers/CrowdScripts.h"

#include <fmt/format.h>

#include "Soak/SoakPlatform.h"
#include "platform/Names.h"

namespace coriander::soak {

namespace {

/** max_body_bytes of the deployments. */
constexpr std::size_t BodyBytes = 262144;
/** Header fields of a request stay below max_header_bytes of 16 KiB. */
constexpr std::size_t HeaderFieldBytes = 15000;
/** 240 bodies of 256 KiB are 60 MiB, more than the 48 MiB of the process. */
constexpr std::size_t BodyClients = 240;
/** More than the 512 descriptors of the process. */
constexpr std::size_t SlowClients = 700;
constexpr std::size_t PipeliningClients = 100;
constexpr std::size_t PipelinedRequests = 1000;
constexpr std::size_t PieceBytes = 4096;
constexpr std::size_t OversizedBytes = 4 * BodyBytes;

using Piece = std::shared_ptr<const std::string>;

Piece makePiece(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

std::string startOfRequest(const std::string &method, const std::string &path)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n",
                       method,
                       path,
                       SoakPlatform::Host,
                       platform::names::CredentialHeader,
                       SoakPlatform::Credential);
}

std::string headerWithLength(const std::string &path, std::size_t length)
{
    return startOfRequest("POST", path) + fmt::format("Content-Length: {}\r\n\r\n", length);
}

std::string chunkedHeader(const std::string &path)
{
    return startOfRequest("POST", path) + "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(std::size_t bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, ' '));
}

std::vector<ClientScript> repeat(const std::vector<ClientScript> &kinds, std::size_t count)
{
    std::vector<ClientScript> scripts;
    for (std::size_t i = 0; i < count; ++i) {
        scripts.push_back(kinds[i % kinds.size()]);
    }
    return scripts;
}

ClientScript scriptOf(std::vector<Piece> pieces)
{
    ClientScript script;
    script.pieces = std::move(pieces);
    return script;
}

/** One request whose body is an object of distinct short fields. */
std::string manyFields()
{
    std::string body = "{\"spec\":\"x\",\"steps\":[{\"count\":1}]";
    for (int i = 0; body.size() < BodyBytes - 20; ++i) {
        body += fmt::format(",\"{:x}\":1", i);
    }
    return body + "}";
}

} // namespace

std::vector<ClientScript> bodiesInOnePiece(const std::string &path)
{
    const Piece piece = makePiece(headerWithLength(path, BodyBytes) + std::string(BodyBytes - 1, ' '));
    return repeat({scriptOf({piece})}, BodyClients);
}

std::vector<ClientScript> bodiesInSmallPieces(const std::string &path)
{
    std::vector<Piece> pieces{makePiece(headerWithLength(path, BodyBytes))};
    const Piece piece = makePiece(std::string(PieceBytes, ' '));
    for (std::size_t sent = 0; sent + PieceBytes < BodyBytes; sent += PieceBytes) {
        pieces.push_back(piece);
    }
    pieces.push_back(makePiece(std::string(PieceBytes - 1, ' ')));
    return repeat({scriptOf(pieces)}, BodyClients);
}

std::vector<ClientScript> chunkedBodies(const std::string &path)
{
    std::vector<Piece> pieces{makePiece(chunkedHeader(path))};
    const Piece piece = makePiece(chunk(PieceBytes));
    for (std::size_t sent = 0; sent + PieceBytes < BodyBytes; sent += PieceBytes) {
        pieces.push_back(piece);
    }
    return repeat({scriptOf(pieces)}, BodyClients);
}

std::vector<ClientScript> oversizedBodies(const std::string &path)
{
    const Piece body = makePiece(std::string(OversizedBytes, ' '));
    const ClientScript withLength = scriptOf({makePiece(headerWithLength(path, OversizedBytes)), body});
    const ClientScript oneChunk = scriptOf({makePiece(chunkedHeader(path)), makePiece(chunk(OversizedBytes))});
    std::vector<Piece> pieces{makePiece(chunkedHeader(path))};
    const Piece piece = makePiece(chunk(PieceBytes));
    for (std::size_t sent = 0; sent < OversizedBytes; sent += PieceBytes) {
        pieces.push_back(piece);
    }
    return repeat({withLength, oneChunk, scriptOf(pieces)}, BodyClients);
}

std::vector<ClientScript> manyJsonValues(const std::string &path)
{
    const std::string fields = manyFields();
    const std::string nested(BodyBytes, '[');
    std::string lists = "{\"steps\":[";
    while (lists.size() < BodyBytes - 10) {
        lists += "[],";
    }
    lists += "[]]}";
    std::vector<ClientScript> kinds;
    for (const std::string &body : {fields, nested, lists}) {
        kinds.push_back(scriptOf({makePiece(headerWithLength(path, body.size()) + body)}));
    }
    return repeat(kinds, BodyClients);
}

std::vector<ClientScript> manyHeaderFields(const std::string &path)
{
    std::string header = startOfRequest("POST", path);
    for (int i = 0; header.size() < HeaderFieldBytes; ++i) {
        header += fmt::format("{:x}:\r\n", i);
    }
    const std::string complete = header + "\r\n";
    header += "Content-Length: 100\r\n\r\n";
    return repeat({scriptOf({makePiece(header)}), scriptOf({makePiece(complete), makePiece(header)})}, SlowClients / 2);
}

std::vector<ClientScript> pipelinedRequests(const std::string &path)
{
    std::string requests;
    for (std::size_t i = 0; i < PipelinedRequests; ++i) {
        requests += startOfRequest("GET", path) + "\r\n";
    }
    ClientScript script = scriptOf({makePiece(std::move(requests))});
    script.reads = false;
    return repeat({script}, PipeliningClients);
}

std::vector<ClientScript> slowClients(const std::string &path)
{
    std::vector<Piece> bytes;
    for (const char c : headerWithLength(path, BodyBytes)) {
        bytes.push_back(makePiece(std::string(1, c)));
    }
    ClientScript slowSender = scriptOf(bytes);
    slowSender.pause = std::chrono::milliseconds(200);
    ClientScript slowReader = scriptOf({makePiece(startOfRequest("GET", path) + "\r\n")});
    slowReader.reads = false;
    ClientScript halfClosed = scriptOf({makePiece(headerWithLength(path, BodyBytes) + std::string(PieceBytes, ' '))});
    halfClosed.closesSendingSide = true;
    const ClientScript silent = scriptOf({});
    return repeat({slowSender, slowReader, halfClosed, silent}, SlowClients);
}

} // namespace coriander::soak
