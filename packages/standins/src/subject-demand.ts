/** The demand of requests of different subjects for the experts of a group, as sampled counts. */
export type SubjectDemand = {
	readonly subjects: number;
	/** Draws the subject of a request; some are more popular than others. */
	drawSubject(): number;
	/** Returns the share of each expert, by layer, for requests whose tokens are spread over the subjects as given. */
	shares(tokensBySubject: readonly number[] | Float64Array): number[][];
	/** Samples how often each expert is chosen, ordered by layer and then by expert. */
	sampleCounts(picksBySubject: readonly number[] | Float64Array): number[];
	/** Exchanges about half of the popular experts of all layers with others. */
	shift(): void;
};

const subjects = 9;

/** The part of the demand that all subjects have in common. */
const commonShare = 0.7;

/** The exponent of the Zipf distribution of the experts' shares. */
const expertExponent = 0.63;

const subjectExponent = 0.5;

/** The part of the experts that counts as popular, and the part of these that a shift exchanges. */
const popularRatio = 0.2;
const shiftedRatio = 0.51;

/** The mean from which a Poisson variable is drawn as a normal one. */
const normalMean = 30;

/**
Creates a demand in which each subject has its own popular experts beside common ones.

@example
const demand = createSubjectDemand({layers: 3, experts: 96}, seededRandom(1));
const counts = demand.sampleCounts([700, 0, 0, 0, 0, 0, 0, 0, 0]);
*/
export function createSubjectDemand({layers, experts}: {readonly layers: number; readonly experts: number}, random: () => number): SubjectDemand {
	const popularity = zipfShares(subjects, subjectExponent);
	const drawShares = (): number[] => shuffled(zipfShares(experts, expertExponent), random);
	/** By layer: the common shares, then those of each subject. */
	let demands = Array.from({length: layers}, () => Array.from({length: 1 + subjects}, drawShares));

	const shares = (tokensBySubject: readonly number[] | Float64Array): number[][] => {
		const weights = [...tokensBySubject];
		const total = weights.reduce((sum, weight) => sum + weight, 0);
		return demands.map(([common, ...own]) => common.map((share, expert) => {
			let ownSum = 0;
			for (const [subject, weight] of weights.entries()) {
				ownSum += weight * own[subject][expert];
			}

			return (commonShare * share) + ((1 - commonShare) * ownSum / total);
		}));
	};

	return {
		subjects,
		drawSubject() {
			let rest = random();
			let subject = 0;
			for (; subject < subjects - 1 && rest >= popularity[subject]; subject++) {
				rest -= popularity[subject];
			}

			return subject;
		},
		shares,
		sampleCounts(picksBySubject) {
			const picks = [...picksBySubject].reduce((sum, count) => sum + count, 0);
			return shares(picksBySubject).flatMap(layer => layer.map(share => samplePoisson(picks * share, random)));
		},
		shift() {
			demands = demands.map(layer => layer.map(own => exchangePopular(own, random)));
		},
	};
}

function zipfShares(count: number, exponent: number): number[] {
	const weights = Array.from({length: count}, (_, i) => (i + 1) ** -exponent);
	const sum = weights.reduce((total, weight) => total + weight, 0);
	return weights.map(weight => weight / sum);
}

function shuffled<T>(items: readonly T[], random: () => number): T[] {
	const result = [...items];
	for (let i = result.length - 1; i > 0; i--) {
		const j = Math.floor(random() * (i + 1));
		[result[i], result[j]] = [result[j], result[i]];
	}

	return result;
}

function exchangePopular(shares: readonly number[], random: () => number): number[] {
	const next = [...shares];
	const byShare = [...shares.keys()].toSorted((a, b) => shares[b] - shares[a]);
	for (const expert of byShare.slice(0, Math.round(shares.length * popularRatio))) {
		if (random() < shiftedRatio) {
			const other = Math.floor(random() * shares.length);
			[next[expert], next[other]] = [next[other], next[expert]];
		}
	}

	return next;
}

function samplePoisson(mean: number, random: () => number): number {
	if (mean > normalMean) {
		return Math.max(0, Math.round(mean + (Math.sqrt(mean) * Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random()))));
	}

	const limit = Math.exp(-mean);
	let count = 0;
	for (let product = random(); product > limit; product *= random()) {
		count++;
	}

	return count;
}
