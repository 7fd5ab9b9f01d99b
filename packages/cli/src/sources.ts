import {type Peer} from '@papayaflow/peer';
import {hashText} from '@papayaflow/policy';

export type SourcesOptions = {
	/** The name of this instance; different instances choose different peers. */
	readonly instance: string;
	/** The availability zone of this instance. */
	readonly zone: string;
	/** How many peers to follow. */
	readonly count: () => number;
	/** How long an entry that is followed may announce nothing, in milliseconds, before another one is followed in its place. */
	readonly maxSilenceMs: number;
	readonly monotonicMs: () => number;
	/** Called when a peer is followed from now on, or no longer. */
	readonly onChange: (peer: Peer) => void;
};

/** The peers whose announcements this process follows. */
export type Sources = {
	isFollowed(peer: Peer): boolean;
	onUp(peer: Peer): void;
	onDown(peer: Peer): void;
	/** Notes that a peer has announced a revision. */
	onAnnounced(peer: Peer): void;
	/** Chooses anew, after peers were added, have fallen silent or `count` has changed. Call it several times a second. */
	update(): void;
};

/** How long an entry that fell silent is left out, in milliseconds, unless it announces something. It is no longer told to announce anything. */
const silentForMs = 30_000;

/** A connected peer, when it was heard of last, and until when it counts as silent. */
type Candidate = {readonly peer: Peer; readonly score: number; heardMs: number; silentUntilMs: number};

/**
Creates the choice of the peers that a process follows: a fixed number of those that it is
connected to, so that what each process sends and receives does not grow with the fleet.
Entries come before sidecars and those of the own zone first, but one of several is in another
zone. Among equals, rendezvous hashing spreads the processes over the peers.

Load pattern: hundreds of processes start at once, and each of them sees every change.

@example
const sources = createSources({instance: 'side-1', zone: 'a', count: () => 3, maxSilenceMs: 2500, monotonicMs, onChange});
sources.onUp(peer);
*/
export function createSources({instance, zone, count, maxSilenceMs, monotonicMs, onChange}: SourcesOptions): Sources {
	const candidates = new Map<Peer, Candidate>();
	let followed = new Set<Peer>();
	let mustChoose = false;

	const isSilent = ({silentUntilMs}: Candidate): boolean => monotonicMs() < silentUntilMs;

	const compare = (a: Candidate, b: Candidate): number => Number(isSilent(a)) - Number(isSilent(b))
		|| Number(a.peer.hello.role === 'sidecar') - Number(b.peer.hello.role === 'sidecar')
		|| Number(a.peer.hello.zone !== zone) - Number(b.peer.hello.zone !== zone)
		|| b.score - a.score;

	const choose = (): void => {
		mustChoose = false;
		const size = count();
		const ordered = [...candidates.values()].toSorted(compare);
		const chosen = ordered.slice(0, size);
		const last = chosen.at(-1);
		// A partition can cut off all processes of a zone from the others.
		const elsewhere = last && size > 1 && chosen.every(({peer}) => peer.hello.zone === last.peer.hello.zone)
			? ordered.slice(size).find(other => other.peer.hello.zone !== last.peer.hello.zone && other.peer.hello.role === last.peer.hello.role && !isSilent(other))
			: undefined;
		const previous = followed;
		followed = new Set([...chosen.slice(0, elsewhere ? -1 : undefined), ...(elsewhere ? [elsewhere] : [])].map(({peer}) => peer));
		for (const {peer} of ordered) {
			if (followed.has(peer) !== previous.has(peer)) {
				candidates.get(peer)!.heardMs = monotonicMs();
				onChange(peer);
			}
		}
	};

	return {
		isFollowed: peer => followed.has(peer),
		onUp(peer) {
			candidates.set(peer, {
				peer, score: hashText(`${instance}\n${peer.hello.instance}`), heardMs: monotonicMs(), silentUntilMs: Number.NEGATIVE_INFINITY,
			});
			mustChoose = true;
			if (followed.size < count()) {
				choose();
			}
		},
		onDown(peer) {
			candidates.delete(peer);
			if (followed.delete(peer)) {
				choose();
			}
		},
		onAnnounced(peer) {
			const candidate = candidates.get(peer);
			if (candidate) {
				candidate.heardMs = monotonicMs();
				mustChoose ||= isSilent(candidate);
				candidate.silentUntilMs = Number.NEGATIVE_INFINITY;
			}
		},
		update() {
			const now = monotonicMs();
			for (const peer of followed) {
				const candidate = candidates.get(peer)!;
				// Sidecars announce only changes.
				if (peer.hello.role === 'entry' && now - candidate.heardMs > maxSilenceMs) {
					candidate.silentUntilMs = now + silentForMs;
					mustChoose = true;
				}
			}

			if (mustChoose || followed.size !== Math.min(count(), candidates.size)) {
				choose();
			}
		},
	};
}
