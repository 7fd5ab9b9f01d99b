import {setTimeout as sleep} from 'node:timers/promises';
import {createPassGroup, seededRandom, type PassGroup} from '@papayaflow/standins';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {
	resolvePass, switchPass, type CommandReply, type GuardedCommand, type LayeredMap, type PassRanks, type PassSwitchOptions, type RankView,
} from '@papayaflow/experts';

const map: LayeredMap = [[[0], [1], [2]]];
const readMap = async (): Promise<LayeredMap> => map;

/**
How a test delivers a command. `answered`: the rank obeys and replies. `answerLost`: the
rank obeys and the reply is lost. `late`: the rank obeys when the test delivers the
command later. `lost`: the rank never receives the command. Except for `lost`, the
returned `CommandReply` still contains the state of the rank.
*/
type Delivery = 'answered' | 'answerLost' | 'late' | 'lost';

function viewOf(group: PassGroup, rank: number): RankView {
	const {map: mapVersion, prepared, armed} = group.ranks[rank];
	return {
		group: 'g', formation: group.formation(), isOpen: true, rank, size: group.ranks.length, pass: group.pass(), isCopying: false, mapVersion, prepared, armed,
		held: group.held(rank), pace: 1, queued: 0, active: 0, usedTokens: 0,
	};
}

function ranksOf(group: PassGroup, chooseDelivery: (rank: number, guarded: GuardedCommand) => Delivery = () => 'answered'): PassRanks & {readonly delayedCommands: Array<() => void>} {
	const delayedCommands: Array<() => void> = [];
	return {
		count: group.ranks.length,
		delayedCommands,
		async order(rank, guarded) {
			const {result} = await this.command(rank, guarded);
			return result;
		},
		async readView(rank) {
			return viewOf(group, rank);
		},
		async command(rank, guarded): Promise<CommandReply> {
			const {command, fencingToken, formation} = guarded;
			const obey = (): CommandReply['result'] => group.order(rank, command, {fencingToken, formation});
			switch (chooseDelivery(rank, guarded)) {
				case 'answered': {
					return {result: obey(), view: viewOf(group, rank)};
				}

				case 'answerLost': {
					obey();
					return {result: 'unknown', view: viewOf(group, rank)};
				}

				case 'late': {
					delayedCommands.push(obey);
					return {result: 'unknown', view: viewOf(group, rank)};
				}

				case 'lost': {
					return {result: 'unknown', view: undefined};
				}
			}
		},
	};
}

function optionsOf(group: PassGroup, ranks: PassRanks, overrides: Partial<PassSwitchOptions> = {}): PassSwitchOptions {
	let lastHeldPass = 0;
	let clockMs = 0;
	return {
		ranks, fencingToken: 1, formation: 1, holder: 0, prepareTimeoutMs: 500, decideTimeoutMs: 500, isStopped: () => false,
		nowMs: () => clockMs,
		async sleep(ms) {
			clockMs += ms;
			group.beginPass();
			await sleep(0);
		},
		chooseHoldPass(lastBegunPass) {
			lastHeldPass = Math.max(lastHeldPass + 1, lastBegunPass + 2);
			return lastHeldPass;
		},
		...overrides,
	};
}

/** Result of a call by a crashed coordinator: it never resolves. */
async function never(): Promise<never> {
	return new Promise(() => {
		// Stays pending.
	});
}

/** Lets the group begin passes; a pass does not begin while a rank holds it. */
function beginPasses(group: PassGroup): void {
	for (let i = 0; i < 20; i++) {
		group.beginPass();
	}
}

/**
Creates a group as it is found when coordinators have stopped at any point, at passes far
enough ahead that each can still be held: any ranks are armed, for any of the versions that
they have prepared and any pass, and any ranks hold any pass. All use the same map.
*/
function createLeftGroup(random: () => number): {readonly group: PassGroup; readonly newestVersion: number} {
	const below = (count: number): number => Math.floor(random() * count);
	const size = 2 + below(5);
	const group = createPassGroup(size);
	for (let i = below(4); i > 0; i--) {
		group.beginPass();
	}

	const [armedShare, heldShare] = [random(), random() / 2];
	const [versions, passes] = [1 + below(3), 1 + below(3)];
	for (const [index, rank] of group.ranks.entries()) {
		const prepared = 10 + (10 * below(versions));
		const isArmed = random() < armedShare;
		const armed = isArmed ? {version: prepared, pass: group.pass() + 1 + below(passes)} : undefined;
		Object.assign(rank, {prepared: isArmed || random() < 0.7 ? prepared : undefined, highestPrepared: prepared + below(3), armed});
		if (random() < heldShare) {
			group.order(index, {kind: 'hold', pass: group.pass() + 1 + below(passes)}, {fencingToken: 1, formation: 1});
		}
	}

	return {group, newestVersion: 32};
}

function describeGroup(group: PassGroup): string {
	return group.ranks.map(({prepared, armed}, rank) => `${prepared ?? '-'} ${armed ? `${armed.version}@${armed.pass}` : '-'} ${group.held(rank) ?? '-'}`).join(', ');
}

/** The longest silence of a rank in `playSilence`, in milliseconds. */
const longestSilenceMs = 3000;

/**
Runs a switch during which random ranks fall silent for up to `longestSilenceMs` from one
command on, then resolves it with new tokens until it is clear. A silent rank may still
obey, and may obey late. A switch that loses the arms of `lostArm` is aborted. Returns the number of commands of the switch and how long the group
was held, in milliseconds.
*/
async function playSilence(
	group: PassGroup,
	{silentFrom, lostArm, random}: {readonly silentFrom: number; readonly lostArm: number | undefined; readonly random: () => number},
): Promise<{readonly commands: number; readonly heldMs: number}> {
	const silenceMs = random() * longestSilenceMs;
	const isSilent = group.ranks.map(() => random() < 0.5);
	let commands = 0;
	let clockMs = 0;
	let untilMs = 0;
	let heldMs = 0;
	const isHeld = (): boolean => group.ranks.some((_, rank) => group.held(rank) !== undefined);
	const advance = (ms: number): void => {
		heldMs += isHeld() ? ms : 0;
		clockMs += ms;
		group.beginPass();
	};

	const ranks = ranksOf(group, (rank, {command}) => {
		commands++;
		if (commands === silentFrom) {
			untilMs = clockMs + silenceMs;
		}

		if (clockMs >= untilMs || !isSilent[rank]) {
			return command.kind === 'arm' && rank === lostArm ? 'lost' : 'answered';
		}

		// A command that gets no reply takes its time-out.
		advance(400 / group.ranks.length);
		return (['answerLost', 'late', 'lost', 'lost'] as const)[Math.floor(random() * 4)];
	});
	const isCut = (rank: number): boolean => clockMs < untilMs && isSilent[rank];
	const silentRanks: PassRanks = {
		...ranks,
		async readView(rank) {
			return isCut(rank) ? undefined : ranks.readView(rank);
		},
		async command(rank, guarded) {
			const {result, view} = await ranks.command(rank, guarded);
			return {result, view: result === 'unknown' ? undefined : view};
		},
	};
	const options = optionsOf(group, silentRanks, {
		nowMs: () => clockMs,
		async sleep(ms) {
			advance(ms);
		},
	});
	const {kind} = await switchPass({version: 10, map, current: map}, options);
	const commandsOfSwitch = commands;
	for (let token = 2; kind !== 'switched' && token < 40; token++) {
		const resolved = await resolvePass(readMap, {...options, fencingToken: token});
		if (resolved.kind === 'clear') {
			break;
		}

		advance(300);
	}

	for (const deliver of ranks.delayedCommands) {
		deliver();
	}

	// A late hold: a coordinator resolves it when it sees that its own rank holds the group although no switch is running.
	if (group.held(options.holder) !== undefined) {
		await resolvePass(readMap, {...options, fencingToken: 40});
	}

	return {commands: commandsOfSwitch, heldMs};
}

describe('switchPass', () => {
	it('switches every rank to the new map at the same pass', async () => {
		const group = createPassGroup(3);
		const result = await switchPass({version: 4, map, current: map}, optionsOf(group, ranksOf(group)));
		expect(result.kind).to.equal('switched');
		beginPasses(group);
		expect(group.ranks.map(rank => rank.map)).to.deep.equal([4, 4, 4]);
		expect(group.mixedPasses()).to.equal(0);
	});

	it('completes the switch when the reply to every command is lost', async () => {
		const group = createPassGroup(3);
		const result = await switchPass({version: 4, map, current: map}, optionsOf(group, ranksOf(group, () => 'answerLost')));
		expect(result.kind).to.equal('switched');
		beginPasses(group);
		expect(group.mixedPasses()).to.equal(0);
	});

	it('aborts the switch on every rank when one rank is not armed, so that a late arm command has no effect', async () => {
		const group = createPassGroup(3);
		const ranks = ranksOf(group, (rank, {command}) => rank === 2 && command.kind === 'arm' ? 'late' : 'answered');
		const result = await switchPass({version: 4, map, current: map}, optionsOf(group, ranks));
		expect(result).to.deep.equal({kind: 'abandoned', at: 'arm'});
		for (const deliver of ranks.delayedCommands) {
			deliver();
		}

		beginPasses(group);
		expect(group.pass()).to.be.above(10);
		expect(group.ranks.map(rank => rank.map)).to.deep.equal([0, 0, 0]);
		expect(group.mixedPasses()).to.equal(0);
	});

	it('reports missing replies when it asks for the pass to hold, so that the group need not wait for retries', async () => {
		const group = createPassGroup(3);
		const reported: boolean[] = [];
		let isFirst = true;
		const ranks = ranksOf(group, (rank, {command}) => {
			const isLost = isFirst && rank === 1 && command.kind === 'prepare';
			isFirst &&= !isLost;
			return isLost ? 'lost' : 'answered';
		});
		await switchPass({version: 4, map, current: map}, optionsOf(group, ranks, {
			chooseHoldPass(lastBegunPass, hasMissingReplies) {
				reported.push(hasMissingReplies);
				return lastBegunPass + 2;
			},
		}));
		expect(reported).to.deep.equal([true]);
	});

	it('abandons the switch when a rank does not prepare the map in time', async () => {
		const group = createPassGroup(3);
		const result = await switchPass({version: 4, map, current: map}, optionsOf(group, ranksOf(group, (rank, {command}) => rank === 1 && command.kind === 'prepare' ? 'lost' : 'answered')));
		expect(result).to.deep.equal({kind: 'abandoned', at: 'prepare'});
		beginPasses(group);
		expect(group.pass()).to.be.above(10);
	});

	it('keeps the group held when the release command of an earlier switch arrives late', async () => {
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
		// The group is idle, so the second switch starts before the pass that the first one held has begun.
		const heldPasses: number[] = [];
		const ranksOfSecondSwitch = ranksOf(group, (rank, {command}) => {
			if (command.kind === 'hold') {
				heldPasses.push(command.pass);
			}

			if (command.kind === 'arm' && rank === 1) {
				for (const deliver of ranks.delayedCommands) {
					deliver();
				}

				group.beginPass();
				group.beginPass();
			}

			return 'answered';
		});
		await switchPass({version: 6, map, current: map}, {...options, ranks: ranksOfSecondSwitch});
		beginPasses(group);
		expect(group.mixedPasses()).to.equal(0);
	});

	it('stops when another coordinator has a higher fencing token', async () => {
		const group = createPassGroup(2);
		group.order(1, {kind: 'release', pass: 0}, {fencingToken: 9, formation: 1});
		const result = await switchPass({version: 4, map, current: map}, optionsOf(group, ranksOf(group)));
		expect(result.kind).to.equal('superseded');
	});

	it('stops when the group re-forms', async () => {
		const group = createPassGroup(2);
		const ranks = ranksOf(group, (rank, {command}) => {
			if (command.kind === 'arm' && rank === 1) {
				group.startFormation();
			}

			return 'answered';
		});
		const result = await switchPass({version: 4, map, current: map}, optionsOf(group, ranks));
		expect(result.kind).to.equal('superseded');
		beginPasses(group);
		expect(group.pass()).to.be.above(10);
		expect(group.mixedPasses()).to.equal(0);
	});
});

describe('resolvePass', () => {
	const crashPoints = ['prepare', 'hold', 'arm', 'armHalf', 'withdraw', 'release'] as const;
	for (const crashPoint of crashPoints) {
		it(`completes or aborts the switch that a crashed coordinator left (crash point: ${crashPoint})`, async () => {
			const group = createPassGroup(3);
			const delayedCommands: Array<() => void> = [];
			let hasCrashed = false;
			const crashingRanks: PassRanks = {
				count: 3,
				async readView(rank) {
					return hasCrashed ? never() : viewOf(group, rank);
				},
				async order(rank, guarded) {
					const {result} = await this.command(rank, guarded);
					return result;
				},
				async command(rank, {command, fencingToken, formation}) {
					const crashesHere = (crashPoint === 'armHalf' && command.kind === 'arm' && rank === 1)
						|| (crashPoint === 'withdraw' && command.kind === 'disarm') || command.kind === crashPoint;
					if (hasCrashed || crashesHere) {
						hasCrashed ||= crashPoint !== 'arm' || rank === 2;
						delayedCommands.push(() => {
							group.order(rank, command, {fencingToken, formation});
						});
						if (hasCrashed) {
							return never();
						}
					}

					const isLost = crashPoint === 'withdraw' && command.kind === 'arm' && rank === 2;
					const result = isLost ? 'unknown' : group.order(rank, command, {fencingToken, formation});
					return {result, view: viewOf(group, rank)};
				},
			};
			void switchPass({version: 4, map, current: map}, optionsOf(group, crashingRanks));
			await sleep(20);
			expect(hasCrashed).to.equal(true);

			const resolved = await resolvePass(readMap, optionsOf(group, ranksOf(group), {fencingToken: 2}));
			expect(resolved.kind).to.equal('clear');
			for (const deliver of delayedCommands) {
				deliver();
				group.beginPass();
			}

			beginPasses(group);
			expect(group.pass(), 'the group is not held').to.be.above(10);
			expect(group.mixedPasses()).to.equal(0);
			const next = await switchPass({version: 20, map, current: map}, optionsOf(group, ranksOf(group), {fencingToken: 2}));
			expect(next.kind).to.equal('switched');
		});
	}

	// Guards against a group that is held for good: ranks armed for an older version than the newest one were never disarmed.
	it('ends every mix of states in which the ranks can be left', async () => {
		for (let seed = 1; seed <= 400; seed++) {
			const random = seededRandom(seed);
			const {group, newestVersion} = createLeftGroup(random);
			const resolved = await resolvePass(readMap, optionsOf(group, ranksOf(group), {fencingToken: 2}));
			expect(resolved.kind, `seed ${seed}: ${describeGroup(group)}`).to.equal('clear');
			expect(group.ranks.map(({armed}) => armed), `seed ${seed}`).to.deep.equal(group.ranks.map(() => undefined));
			const passBefore = group.pass();
			beginPasses(group);
			expect(group.pass() - passBefore, `seed ${seed}: the group is not held`).to.equal(20);
			expect(group.mixedPasses(), `seed ${seed}`).to.equal(0);
			const next = await switchPass({version: newestVersion + 1000, map, current: map}, optionsOf(group, ranksOf(group), {fencingToken: 2}));
			expect(next.kind, `seed ${seed}`).to.equal('switched');
		}
	});

	// Guards against a wait without end: ranks that are all armed for a pass refuse every other map until the pass begins, which it never does without work.
	it('aborts a switch whose group is idle', async () => {
		const group = createPassGroup(3);
		for (const rank of group.ranks) {
			Object.assign(rank, {prepared: 4, highestPrepared: 4, armed: {version: 4, pass: 3}});
		}

		let clockMs = 0;
		const resolved = await resolvePass(readMap, optionsOf(group, ranksOf(group), {
			fencingToken: 2, nowMs: () => clockMs,
			async sleep(ms) {
				clockMs += ms;
			},
		}));
		expect(resolved.kind).to.equal('clear');
		expect(clockMs).to.be.at.most(500);
		beginPasses(group);
		expect(group.pass()).to.equal(20);
		expect(group.ranks.map(rank => rank.map)).to.deep.equal([0, 0, 0]);
	});

	// Guards against a pass with two maps: nobody holds the group, and the pass begins while its ranks are disarmed one after the other.
	it('holds the group before it disarms ranks that nobody holds', async () => {
		const group = createPassGroup(4);
		for (const rank of group.ranks.slice(1)) {
			Object.assign(rank, {prepared: 4, highestPrepared: 4, armed: {version: 4, pass: 3}});
		}

		const ranks = ranksOf(group, (_, {command}) => {
			if (command.kind === 'disarm' || command.kind === 'prepare') {
				beginPasses(group);
			}

			return 'answered';
		});
		const resolved = await resolvePass(readMap, optionsOf(group, ranks, {fencingToken: 2}));
		expect(resolved.kind).to.equal('clear');
		beginPasses(group);
		expect(group.pass()).to.be.above(10);
		expect(group.mixedPasses()).to.equal(0);
	});

	// Guards against a seal that is refused until the copy of another map, whose version no rank reports yet, has ended.
	it('aborts a switch while a rank copies a map of a later version', async () => {
		const group = createPassGroup(3);
		Object.assign(group.ranks[0], {prepared: 4, highestPrepared: 4});
		Object.assign(group.ranks[1], {prepared: undefined, highestPrepared: 5000});
		group.order(0, {kind: 'hold', pass: 2}, {fencingToken: 1, formation: 1});
		const resolved = await resolvePass(readMap, optionsOf(group, ranksOf(group), {fencingToken: 2}));
		expect(resolved.kind).to.equal('clear');
		expect(group.ranks[1].prepared).to.be.above(5000);
	});

	it('says which state each rank was left in if a rank does not obey', async () => {
		const group = createPassGroup(3);
		Object.assign(group.ranks[2], {prepared: 4, highestPrepared: 4, armed: {version: 4, pass: 2}});
		group.order(0, {kind: 'hold', pass: 2}, {fencingToken: 1, formation: 1});
		const ranks = ranksOf(group, (rank, {command}) => rank === 2 && command.kind === 'disarm' ? 'lost' : 'answered');
		const resolved = await resolvePass(readMap, optionsOf(group, ranks, {fencingToken: 2}));
		expect(resolved).to.include({kind: 'unresolved', at: 'abort'});
		expect(resolved.kind === 'unresolved' && resolved.views.map(view => view?.armed?.version)).to.deep.equal([undefined, undefined, 4]);
	});

	// Guards against a group that stays held after silence, at whichever command of a switch or of its abort it begins.
	it('ends the switch after silence at any command of it, whichever ranks are cut off', async () => {
		let silences = 0;
		for (let seed = 1; seed <= 25; seed++) {
			for (let silentFrom = 1; ; silentFrom++) {
				const random = seededRandom((seed * 1000) + silentFrom);
				const group = createPassGroup(4);
				const {commands, heldMs} = await playSilence(group, {silentFrom, lostArm: seed % 2 === 0 ? seed % 4 : undefined, random});
				expect(heldMs, `seed ${seed}, silence from command ${silentFrom}: ${describeGroup(group)}`).to.be.at.most(longestSilenceMs + 1000);
				const passBefore = group.pass();
				beginPasses(group);
				expect(group.pass() - passBefore, `seed ${seed}, silence from command ${silentFrom}: ${describeGroup(group)}`).to.equal(20);
				expect(group.mixedPasses(), `seed ${seed}, silence from command ${silentFrom}`).to.equal(0);
				if (commands < silentFrom) {
					break;
				}

				silences++;
			}
		}

		expect(silences, 'the commands of 13 switches that succeed and of 12 that are aborted').to.be.at.least((13 * 10) + (12 * 20));
	});

	it('reads the state of a rank only after every rank has accepted the new fencing token', async () => {
		const group = createPassGroup(2);
		const calls: string[] = [];
		const ranks = ranksOf(group, (rank, {command}) => {
			calls.push(`${command.kind} ${rank}`);
			return 'answered';
		});
		await resolvePass(readMap, optionsOf(group, {
			...ranks,
			async readView(rank) {
				calls.push(`readView ${rank}`);
				return ranks.readView(rank);
			},
		}));
		expect(calls.slice(0, 2)).to.deep.equal(['release 0', 'release 1']);
		expect(calls[2]).to.match(/^readView/v);
	});

	it('keeps one map per pass when commands are lost or late, replies are lost and coordinators stop', async () => {
		for (let seed = 1; seed <= 60; seed++) {
			const random = seededRandom(seed);
			const group = createPassGroup(3);
			const delayedCommands: Array<() => void> = [];
			const randomDelivery = (): Delivery => (['answered', 'answered', 'answered', 'answerLost', 'late', 'lost'] as const)[Math.floor(random() * 6)];
			for (let token = 1; token <= 4; token++) {
				const ranks = ranksOf(group, () => {
					if (random() < 0.3) {
						group.beginPass();
					}

					if (delayedCommands.length > 0 && random() < 0.3) {
						delayedCommands.splice(Math.floor(random() * delayedCommands.length), 1)[0]();
					}

					return randomDelivery();
				});
				let stopChecks = 0;
				const maxStopChecks = 5 + Math.floor(random() * 60);
				const options = optionsOf(group, ranks, {fencingToken: token, isStopped: () => ++stopChecks > maxStopChecks});
				const takeover = (async () => {
					const resolved = await resolvePass(readMap, options);
					if (resolved.kind === 'clear') {
						await switchPass({version: Math.max(resolved.newestVersion, token * 100) + 2, map, current: map}, options);
					}
				})();
				await takeover;
				delayedCommands.push(...ranks.delayedCommands.splice(0));
			}

			for (const deliver of delayedCommands) {
				deliver();
				group.beginPass();
			}

			beginPasses(group);
			expect(group.mixedPasses(), `seed ${seed}`).to.equal(0);
		}
	});
});
