import {setTimeout as sleep} from 'node:timers/promises';
import {createPassGroup, seededRandom, type PassGroup} from '@papayaflow/standins';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {
	resolvePass, switchPass, type CommandReply, type GuardedCommand, type LayeredMap, type PassRanks, type PassSwitchOptions, type RankView,
} from '@papayaflow/experts';

const map: LayeredMap = [[[0], [1], [2]]];

/** What a test does to a command: whether it is obeyed now, its answer lost, or it is lost and obeyed later. */
type Fate = 'answered' | 'answerLost' | 'late' | 'lost';

function viewOf(group: PassGroup, rank: number): RankView {
	const {map: mapVersion, prepared, armed} = group.ranks[rank];
	return {
		group: 'g', formation: group.formation(), isOpen: true, rank, size: group.ranks.length, pass: group.pass(), isCopying: false, mapVersion, prepared, armed,
		held: group.held(rank), pace: 1, queued: 0, active: 0, usedTokens: 0,
	};
}

function ranksOf(group: PassGroup, fate: (rank: number, guarded: GuardedCommand) => Fate = () => 'answered'): PassRanks & {readonly late: Array<() => void>} {
	const late: Array<() => void> = [];
	return {
		count: group.ranks.length,
		late,
		async order(rank, guarded) {
			const {result} = await this.command(rank, guarded);
			return result;
		},
		async look(rank) {
			return viewOf(group, rank);
		},
		async command(rank, guarded): Promise<CommandReply> {
			const {command, fencingToken, formation} = guarded;
			const obey = (): CommandReply['result'] => group.order(rank, command, {fencingToken, formation});
			switch (fate(rank, guarded)) {
				case 'answered': {
					return {result: obey(), view: viewOf(group, rank)};
				}

				case 'answerLost': {
					obey();
					return {result: 'unknown', view: viewOf(group, rank)};
				}

				case 'late': {
					late.push(obey);
					return {result: 'unknown', view: viewOf(group, rank)};
				}

				case 'lost': {
					return {result: 'unknown', view: undefined};
				}
			}
		},
	};
}

function optionsOf(group: PassGroup, ranks: PassRanks, more: Partial<PassSwitchOptions> = {}): PassSwitchOptions {
	let last = 0;
	let clock = 0;
	return {
		ranks, fencingToken: 1, formation: 1, holder: 0, prepareTimeoutMs: 500, decideTimeoutMs: 500, isStopped: () => false,
		nowMs: () => clock,
		async sleep(ms) {
			clock += ms;
			group.begin();
			await sleep(0);
		},
		passAfter(begun) {
			last = Math.max(last + 1, begun + 2);
			return last;
		},
		...more,
	};
}

/** What a dead coordinator's calls bring. */
async function forever(): Promise<never> {
	return new Promise(() => {
		// Never answers.
	});
}

function runAll(group: PassGroup): void {
	for (let i = 0; i < 20; i++) {
		group.begin();
	}
}

describe('a switch between passes', () => {
	it('brings every rank to the map in one pass', async () => {
		const group = createPassGroup(3);
		const result = await switchPass({version: 4, map, current: map}, optionsOf(group, ranksOf(group)));
		expect(result.kind).to.equal('switched');
		runAll(group);
		expect(group.ranks.map(rank => rank.map)).to.deep.equal([4, 4, 4]);
		expect(group.mixed()).to.equal(0);
	});

	it('is not held back by answers that are lost', async () => {
		const group = createPassGroup(3);
		const result = await switchPass({version: 4, map, current: map}, optionsOf(group, ranksOf(group, () => 'answerLost')));
		expect(result.kind).to.equal('switched');
		runAll(group);
		expect(group.mixed()).to.equal(0);
	});

	it('takes the map back from all when one rank is not armed, so that its late arm finds nothing', async () => {
		const group = createPassGroup(3);
		const ranks = ranksOf(group, (rank, {command}) => rank === 2 && command.kind === 'arm' ? 'late' : 'answered');
		const result = await switchPass({version: 4, map, current: map}, optionsOf(group, ranks));
		expect(result).to.deep.equal({kind: 'abandoned', at: 'arm'});
		for (const obey of ranks.late) {
			obey();
		}

		runAll(group);
		expect(group.pass()).to.be.above(10);
		expect(group.ranks.map(rank => rank.map)).to.deep.equal([0, 0, 0]);
		expect(group.mixed()).to.equal(0);
	});

	it('holds further ahead when orders went unanswered, so that the group need not wait for the arms', async () => {
		const group = createPassGroup(3);
		const seen: boolean[] = [];
		let isFirst = true;
		const ranks = ranksOf(group, (rank, {command}) => {
			const isLost = isFirst && rank === 1 && command.kind === 'prepare';
			isFirst &&= !isLost;
			return isLost ? 'lost' : 'answered';
		});
		await switchPass({version: 4, map, current: map}, optionsOf(group, ranks, {
			passAfter(begun, hasSilence) {
				seen.push(hasSilence);
				return begun + 2;
			},
		}));
		expect(seen).to.deep.equal([true]);
	});

	it('is abandoned when a rank does not get its copy done', async () => {
		const group = createPassGroup(3);
		const result = await switchPass({version: 4, map, current: map}, optionsOf(group, ranksOf(group, (rank, {command}) => rank === 1 && command.kind === 'prepare' ? 'lost' : 'answered')));
		expect(result).to.deep.equal({kind: 'abandoned', at: 'prepare'});
		runAll(group);
		expect(group.pass()).to.be.above(10);
	});

	it('is not let go by the late release of a switch before it', async () => {
		const group = createPassGroup(2);
		let isFirst = true;
		const ranks = ranksOf(group, (_rank, {command}) => {
			if (command.kind === 'release' && isFirst) {
				isFirst = false;
				return 'late';
			}

			return 'answered';
		});
		const options = optionsOf(group, ranks);
		await switchPass({version: 4, map, current: map}, options);
		// The group is idle, and the second switch begins before the pass that the first one held.
		const passes: number[] = [];
		const second = ranksOf(group, (rank, {command}) => {
			if (command.kind === 'hold') {
				passes.push(command.pass);
			}

			if (command.kind === 'arm' && rank === 1) {
				for (const obey of ranks.late) {
					obey();
				}

				group.begin();
				group.begin();
			}

			return 'answered';
		});
		await switchPass({version: 6, map, current: map}, {...options, ranks: second});
		runAll(group);
		expect(group.mixed()).to.equal(0);
	});

	it('stops for a coordinator with a higher token', async () => {
		const group = createPassGroup(2);
		group.order(1, {kind: 'release', pass: 0}, {fencingToken: 9, formation: 1});
		const result = await switchPass({version: 4, map, current: map}, optionsOf(group, ranksOf(group)));
		expect(result.kind).to.equal('superseded');
	});

	it('stops when the group forms anew', async () => {
		const group = createPassGroup(2);
		const ranks = ranksOf(group, (rank, {command}) => {
			if (command.kind === 'arm' && rank === 1) {
				group.reform();
			}

			return 'answered';
		});
		const result = await switchPass({version: 4, map, current: map}, optionsOf(group, ranks));
		expect(result.kind).to.equal('superseded');
		runAll(group);
		expect(group.pass()).to.be.above(10);
		expect(group.mixed()).to.equal(0);
	});
});

describe('taking over', () => {
	const deaths = ['prepare', 'hold', 'arm', 'armHalf', 'withdraw', 'release'] as const;
	for (const death of deaths) {
		it(`finishes or undoes what a coordinator left that died at its ${death}`, async () => {
			const group = createPassGroup(3);
			const late: Array<() => void> = [];
			let isDead = false;
			const dying: PassRanks = {
				count: 3,
				async look(rank) {
					return isDead ? forever() : viewOf(group, rank);
				},
				async order(rank, guarded) {
					const {result} = await this.command(rank, guarded);
					return result;
				},
				async command(rank, {command, fencingToken, formation}) {
					const diesHere = (death === 'armHalf' && command.kind === 'arm' && rank === 1)
						|| (death === 'withdraw' && command.kind === 'disarm') || command.kind === death;
					if (isDead || diesHere) {
						isDead ||= death !== 'arm' || rank === 2;
						late.push(() => {
							group.order(rank, command, {fencingToken, formation});
						});
						if (isDead) {
							return forever();
						}
					}

					const isLost = death === 'withdraw' && command.kind === 'arm' && rank === 2;
					const result = isLost ? 'unknown' : group.order(rank, command, {fencingToken, formation});
					return {result, view: viewOf(group, rank)};
				},
			};
			void switchPass({version: 4, map, current: map}, optionsOf(group, dying));
			await sleep(20);
			expect(isDead).to.equal(true);

			const resolved = await resolvePass(map, optionsOf(group, ranksOf(group), {fencingToken: 2}));
			expect(resolved.kind).to.equal('clear');
			for (const obey of late) {
				obey();
				group.begin();
			}

			runAll(group);
			expect(group.pass(), 'not held').to.be.above(10);
			expect(group.mixed()).to.equal(0);
			const next = await switchPass({version: 20, map, current: map}, optionsOf(group, ranksOf(group), {fencingToken: 2}));
			expect(next.kind).to.equal('switched');
		});
	}

	it('looks only after every rank has heard of the token', async () => {
		const group = createPassGroup(2);
		const seen: string[] = [];
		const ranks = ranksOf(group, (rank, {command}) => {
			seen.push(`${command.kind} ${rank}`);
			return 'answered';
		});
		await resolvePass(map, optionsOf(group, {
			...ranks,
			async look(rank) {
				seen.push(`look ${rank}`);
				return ranks.look(rank);
			},
		}));
		expect(seen.slice(0, 2)).to.deep.equal(['release 0', 'release 1']);
		expect(seen[2]).to.match(/^look/v);
	});

	it('keeps one map in every pass, whatever is lost, late or dead', async () => {
		for (let seed = 1; seed <= 60; seed++) {
			const random = seededRandom(seed);
			const group = createPassGroup(3);
			const late: Array<() => void> = [];
			const fates = (): Fate => (['answered', 'answered', 'answered', 'answerLost', 'late', 'lost'] as const)[Math.floor(random() * 6)];
			for (let token = 1; token <= 4; token++) {
				const ranks = ranksOf(group, () => {
					if (random() < 0.3) {
						group.begin();
					}

					if (late.length > 0 && random() < 0.3) {
						late.splice(Math.floor(random() * late.length), 1)[0]();
					}

					return fates();
				});
				let asked = 0;
				const lifetime = 5 + Math.floor(random() * 60);
				const options = optionsOf(group, ranks, {fencingToken: token, isStopped: () => ++asked > lifetime});
				const work = (async () => {
					const resolved = await resolvePass(map, options);
					if (resolved.kind === 'clear') {
						await switchPass({version: Math.max(resolved.newest, token * 100) + 2, map, current: map}, options);
					}
				})();
				await work;
				late.push(...ranks.late.splice(0));
			}

			for (const obey of late) {
				obey();
				group.begin();
			}

			runAll(group);
			expect(group.mixed(), `seed ${seed}`).to.equal(0);
		}
	});
});
