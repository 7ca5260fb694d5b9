"""States of peers, as a peer table hears them."""

from tanagerreach_core.messages import PeerState

MS_PER_S = 1000.0


def hear(peer_table, name, now_s, **fields):
    """Let a peer table hear a peer that serves.

    :returns: the peer.
    """
    state = PeerState(
        name=name,
        # Times of a test may be negative.
        beat=int(MS_PER_S * (now_s + 1000.0)),
        address=f"{name}:1",
        is_serving=True,
        **fields,
    )
    peer_table.record_state(state, data_centre="dc", heard_s=now_s, now_s=now_s, news_delay_s=0.0)
    return peer_table.peer(name)
