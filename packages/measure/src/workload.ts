/**
The workloads of the two deployments: who sends prompts of which lengths, and when, from a seed alone.
*/
import {createRandom, type Random} from '@currantcross/core/random';
import type {PromptWork, TokenCount} from '@currantcross/core/types';

export type WorkloadName = 'rivebasse' | 'skarvig';

/** A deployment as the measurement sees it. */
export type Deployment = Readonly<{
	dataCentres: readonly string[];
	modelServers: number;
	/** One way between hosts of one data centre, and between data centres, in milliseconds. */
	localDelayMs: number;
	remoteDelayMs: number;
	/** Share of messages that are lost and sent again. */
	lossShare: number;
	callerDelayMs: number;
	organisations: number;
	/** Share of the prompts that the few large organisations send. */
	largeShare: number;
	largeOrganisations: number;
	/** Documents that several prompts share as their prefix, and their length. */
	sharedDocuments: number;
	sharedDocumentTokens: TokenCount;
	/** Share of the prompts that start with a shared document. */
	sharedShare: number;
}>;

/** One prompt of a workload. */
export type WorkloadPrompt = Readonly<{
	requestId: string;
	at: number;
	entry: number;
	organisation: number;
	deadlineMs: number;
	work: PromptWork;
}>;

export const deployments = {
	rivebasse: {
		dataCentres: ['qc-a', 'qc-b', 'qc-c'],
		modelServers: 20,
		localDelayMs: 0.3,
		remoteDelayMs: 3,
		lossShare: 0.002,
		callerDelayMs: 1,
		organisations: 10,
		largeShare: 0.6,
		largeOrganisations: 2,
		sharedDocuments: 12,
		sharedDocumentTokens: 1000,
		sharedShare: 0.4,
	},
	skarvig: {
		dataCentres: ['dk-a', 'dk-b', 'dk-c'],
		modelServers: 25,
		localDelayMs: 0.3,
		remoteDelayMs: 4,
		lossShare: 0.002,
		callerDelayMs: 3,
		organisations: 10,
		largeShare: 0.6,
		largeOrganisations: 3,
		sharedDocuments: 30,
		sharedDocumentTokens: 6000,
		sharedShare: 0.5,
	},
} as const satisfies Readonly<Record<WorkloadName, Deployment>>;

type LengthBand = Readonly<{share: number; from: TokenCount; to: TokenCount; deadlineMs: number}>;

/** One prompt in fifty is over 100,000 tokens. */
const lengthBands: readonly LengthBand[] = [
	{
		share: 0.6, from: 1000, to: 4000, deadlineMs: 30_000,
	},
	{
		share: 0.27, from: 4000, to: 32_000, deadlineMs: 60_000,
	},
	{
		share: 0.11, from: 32_000, to: 100_000, deadlineMs: 180_000,
	},
	{
		share: 0.0185, from: 100_000, to: 390_000, deadlineMs: 600_000,
	},
	{
		share: 0.0015, from: 400_000, to: 1_000_000, deadlineMs: 600_000,
	},
];

/** Time between the copies of a greedy organisation's prompt. */
const greedySpacingMs = 200;

const shortestAnswer = 20;
const longestAnswer = 200;

/** Engine time of one prompt token and one answered token, by the engine model's rules at full steps. */
const prefillCostMs = 0.0734;
const decodeCostMs = 0.6;

/** Engine time that a prompt costs, without what the prefix cache saves. */
export function getCostMs(promptTokens: TokenCount, answerTokens: TokenCount): number {
	return (promptTokens * prefillCostMs) + (answerTokens * decodeCostMs);
}

function drawBand(random: Random): LengthBand {
	let left = random.getFraction();
	for (const band of lengthBands) {
		left -= band.share;
		if (left < 0) {
			return band;
		}
	}

	return lengthBands[0] ?? {
		share: 1, from: 1000, to: 4000, deadlineMs: 30_000,
	};
}

/** Draws a length whose logarithm is even over the band. */
function drawLength(random: Random, band: LengthBand): TokenCount {
	return Math.round(band.from * ((band.to / band.from) ** random.getFraction()));
}

function drawOrganisation(random: Random, deployment: Deployment): number {
	const {organisations, largeOrganisations, largeShare} = deployment;
	return random.getFraction() < largeShare
		? random.getInteger(largeOrganisations)
		: largeOrganisations + random.getInteger(organisations - largeOrganisations);
}

function drawWork(random: Random, deployment: Deployment, band: LengthBand, index: number): PromptWork {
	const promptTokens = drawLength(random, band);
	const answerTokens = shortestAnswer + random.getInteger(longestAnswer - shortestAnswer);
	const isShared = random.getFraction() < deployment.sharedShare;
	const document = random.getInteger(deployment.sharedDocuments);
	return {
		kind: 'prompt',
		model: 'base',
		promptTokens,
		maximumTokens: answerTokens,
		prefixKey: isShared ? `document-${document}` : `own-${index}`,
		prefixTokens: Math.min(promptTokens - 1, isShared ? deployment.sharedDocumentTokens : 500),
		body: '{}',
	};
}

/** Returns the mean engine time of a prompt of the workloads. */
function getMeanCostMs(deployment: Deployment, seed: number): number {
	const random = createRandom(seed);
	const draws = 4000;
	let sum = 0;
	for (let index = 0; index < draws; index += 1) {
		const work = drawWork(random, deployment, drawBand(random), index);
		sum += getCostMs(work.promptTokens, work.maximumTokens);
	}

	return sum / draws;
}

/**
Returns the prompts of a run, in order of arrival.

The load is the engine time that arrives in a second over the engine time that all servers have.
*/
export function createWorkload(deployment: Deployment, seed: number, load: number, durationMs: number): readonly WorkloadPrompt[] {
	const random = createRandom(seed);
	const ratePerMs = load * deployment.modelServers / getMeanCostMs(deployment, 1);
	const prompts: WorkloadPrompt[] = [];
	let at = 0;
	for (;;) {
		at += -Math.log(1 - random.getFraction()) / ratePerMs;
		if (at > durationMs) {
			return prompts;
		}

		const band = drawBand(random);
		prompts.push({
			requestId: `r${prompts.length}`,
			at,
			entry: random.getInteger(deployment.dataCentres.length),
			organisation: drawOrganisation(random, deployment),
			deadlineMs: band.deadlineMs,
			work: drawWork(random, deployment, band, prompts.length),
		});
	}
}

/** The organisation that sends more than its share in a run with a greedy one. */
export const greedyOrganisation = 0;

/**
Returns the workload with each prompt of one organisation sent `factor` times, the copies a little later.
*/
export function createGreedyWorkload(prompts: readonly WorkloadPrompt[], factor: number): readonly WorkloadPrompt[] {
	const copies = prompts.filter(prompt => prompt.organisation === greedyOrganisation).flatMap(prompt =>
		Array.from({length: factor - 1}, (_, index) => ({
			...prompt, requestId: `${prompt.requestId}c${index}`, at: prompt.at + ((index + 1) * greedySpacingMs),
		})));
	return [...prompts, ...copies].toSorted((left, right) => left.at - right.at);
}

/** Returns the prompts of a run that count as long, and that the run without long prompts leaves out. */
export function isLongPrompt(prompt: WorkloadPrompt): boolean {
	return prompt.work.promptTokens > 32_000;
}
