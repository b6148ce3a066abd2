#include "corianderscale/Gateway/OperatorView.h"

#include <algorithm>

namespace coriander {

namespace {

constexpr std::size_t DigestDigits = 64;

} // namespace

OperatorView::OperatorView(CommonSettings common, std::string bootstrapDigest, Store &store, Clock clock)
    : m_common(std::move(common))
    , m_bootstrapDigest(std::move(bootstrapDigest))
    , m_store(store)
    , m_clock(std::move(clock))
{
}

void OperatorView::setDocument(const DocumentHead &head, std::shared_ptr<const Document> document)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_document = DocumentInForce{head, std::move(document)};
}

void OperatorView::setMembers(std::vector<Member> members)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_members = std::move(members);
    std::erase_if(m_peerVersions, [this](const auto &entry) {
        return std::none_of(m_members.begin(), m_members.end(), [&entry](const Member &member) {
            return member.peerAddress == entry.first;
        });
    });
}

void OperatorView::setPeerVersion(const std::string &peerAddress, DocumentVersion version)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_peerVersions[peerAddress] = version;
}

DocumentVersion OperatorView::documentVersion() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_document ? m_document->head.version : DocumentVersion(0);
}

std::vector<Member> OperatorView::otherMembers() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_members;
}

OperatorHooks OperatorView::hooks()
{
    OperatorHooks hooks;
    hooks.clock = m_clock;
    hooks.store = &m_store;
    hooks.environment = m_common.environment;
    hooks.instance = m_common.instance;
    hooks.bootstrapDigest = m_bootstrapDigest;
    hooks.document = [this] {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_document;
    };
    hooks.instances = [this] {
        return instances();
    };
    return hooks;
}

std::vector<InstanceView> OperatorView::instances()
{
    const bool isUnavailable = m_store.state() == StoreState::Unavailable;
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!isUnavailable) {
        m_unavailableSinceUnixMs = 0;
    } else if (m_unavailableSinceUnixMs == 0) {
        m_unavailableSinceUnixMs = toUnixMs(m_clock.wallNow());
    }
    InstanceView self;
    self.member.instance = m_common.instance;
    self.member.role = MemberRole::Gateway;
    self.member.dataCentre = m_common.dataCentre;
    self.member.address = m_common.listen;
    self.member.peerAddress = m_common.peerListen;
    self.version = m_document ? m_document->head.version : DocumentVersion(0);
    self.cutOff = isUnavailable;
    self.cutOffSinceUnixMs = m_unavailableSinceUnixMs;
    std::vector<InstanceView> views = {self};
    for (const Member &member : m_members) {
        if (member.instance == m_common.instance || member.state == MemberState::Dead) {
            continue;
        }
        InstanceView view;
        view.member = member;
        const auto version = m_peerVersions.find(member.peerAddress);
        view.version = version == m_peerVersions.end() ? DocumentVersion(0) : version->second;
        view.cutOff = member.state == MemberState::Suspect;
        view.cutOffSinceUnixMs = view.cutOff ? toUnixMs(m_clock.wallNow()) : 0;
        views.push_back(std::move(view));
    }
    return views;
}

std::string readBootstrapDigest(YamlMap &settings)
{
    std::string digest = settings.text("bootstrap_operator_digest", {});
    if (!digest.empty()
        && (digest.size() != DigestDigits || digest.find_first_not_of("0123456789abcdef") != std::string::npos)) {
        settings.fault("bootstrap_operator_digest",
                       "expected the SHA-256 of the token as 64 lower-case hexadecimal digits");
    }
    return digest;
}

} // namespace coriander
