/**
Synthetic workloads of the two deployments. A seed determines the arrival time, organisation and length of each prompt.
*/
import {createRandom, type Random} from '@currantcross/core/random';
import type {PromptWork, TokenCount} from '@currantcross/core/types';

export type WorkloadName = 'rivebasse' | 'skarvig';

/** The size, the network and the traffic mix of a simulated deployment. */
export type DeploymentProfile = Readonly<{
	dataCentres: readonly string[];
	modelServerCount: number;
	/** Mean one-way network delay within a data centre. */
	localDelayMs: number;
	/** Mean one-way network delay between data centres. */
	remoteDelayMs: number;
	/** Share of messages that are lost and retransmitted. */
	lossRate: number;
	/** One-way network delay between callers and entries. */
	callerDelayMs: number;
	organisationCount: number;
	/** Share of the prompts that the large organisations send. */
	largeOrganisationShare: number;
	largeOrganisationCount: number;
	/** Number of documents that are used as the prefix of several prompts. */
	sharedDocumentCount: number;
	/** Length of each of these documents. */
	sharedDocumentTokens: TokenCount;
	/** Share of the prompts whose prefix is one of these documents. */
	sharedPrefixShare: number;
}>;

export type WorkloadPrompt = Readonly<{
	requestId: string;
	/** Time at which the caller sends the prompt. */
	sentAt: number;
	entryIndex: number;
	organisationIndex: number;
	deadlineMs: number;
	work: PromptWork;
}>;

export const deployments = {
	rivebasse: {
		dataCentres: ['qc-a', 'qc-b', 'qc-c'],
		modelServerCount: 20,
		localDelayMs: 0.3,
		remoteDelayMs: 3,
		lossRate: 0.002,
		callerDelayMs: 1,
		organisationCount: 10,
		largeOrganisationShare: 0.6,
		largeOrganisationCount: 2,
		sharedDocumentCount: 12,
		sharedDocumentTokens: 1000,
		sharedPrefixShare: 0.4,
	},
	skarvig: {
		dataCentres: ['dk-a', 'dk-b', 'dk-c'],
		modelServerCount: 25,
		localDelayMs: 0.3,
		remoteDelayMs: 4,
		lossRate: 0.002,
		callerDelayMs: 3,
		organisationCount: 10,
		largeOrganisationShare: 0.6,
		largeOrganisationCount: 3,
		sharedDocumentCount: 30,
		sharedDocumentTokens: 6000,
		sharedPrefixShare: 0.5,
	},
} as const satisfies Readonly<Record<WorkloadName, DeploymentProfile>>;

type LengthBand = Readonly<{share: number; from: TokenCount; to: TokenCount; deadlineMs: number}>;

/** Distribution of prompt lengths; 2 % of the prompts are longer than 100,000 tokens. */
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

/** Time between successive copies of a prompt of the greedy organisation. */
const greedyCopySpacingMs = 200;

/** Answer lengths are uniformly distributed from the minimum, inclusive, to the maximum, exclusive. */
const minimumAnswerTokens = 20;
const maximumAnswerTokens = 200;

/** Engine time of one prompt token and of one answer token, by the engine model's timing rules for full steps. */
const engineMsPerPromptToken = 0.0734;
const engineMsPerAnswerToken = 0.6;

/** Returns the engine time of a prompt, without savings from the prefix cache. */
export function getEngineTimeMs(promptTokens: TokenCount, answerTokens: TokenCount): number {
	return (promptTokens * engineMsPerPromptToken) + (answerTokens * engineMsPerAnswerToken);
}

function drawLengthBand(random: Random): LengthBand {
	let remaining = random.getFraction();
	for (const band of lengthBands) {
		remaining -= band.share;
		if (remaining < 0) {
			return band;
		}
	}

	return lengthBands[0] ?? {
		share: 1, from: 1000, to: 4000, deadlineMs: 30_000,
	};
}

/** Draws a prompt length from the log-uniform distribution over a band. */
function drawPromptTokens(random: Random, band: LengthBand): TokenCount {
	return Math.round(band.from * ((band.to / band.from) ** random.getFraction()));
}

function drawOrganisation(random: Random, deployment: DeploymentProfile): number {
	const {organisationCount, largeOrganisationCount, largeOrganisationShare} = deployment;
	return random.getFraction() < largeOrganisationShare
		? random.getInteger(largeOrganisationCount)
		: largeOrganisationCount + random.getInteger(organisationCount - largeOrganisationCount);
}

function drawPromptWork(random: Random, deployment: DeploymentProfile, band: LengthBand, index: number): PromptWork {
	const promptTokens = drawPromptTokens(random, band);
	const answerTokens = minimumAnswerTokens + random.getInteger(maximumAnswerTokens - minimumAnswerTokens);
	const hasSharedPrefix = random.getFraction() < deployment.sharedPrefixShare;
	const documentIndex = random.getInteger(deployment.sharedDocumentCount);
	return {
		kind: 'prompt',
		model: 'base',
		promptTokens,
		maximumTokens: answerTokens,
		prefixKey: hasSharedPrefix ? `document-${documentIndex}` : `own-${index}`,
		prefixTokens: Math.min(promptTokens - 1, hasSharedPrefix ? deployment.sharedDocumentTokens : 500),
		body: '{}',
	};
}

/** Estimates the mean engine time of a deployment's prompts from a sample. */
function getMeanEngineTimeMs(deployment: DeploymentProfile, seed: number): number {
	const random = createRandom(seed);
	const sampleCount = 4000;
	let sum = 0;
	for (let index = 0; index < sampleCount; index += 1) {
		const work = drawPromptWork(random, deployment, drawLengthBand(random), index);
		sum += getEngineTimeMs(work.promptTokens, work.maximumTokens);
	}

	return sum / sampleCount;
}

/**
Creates the prompts of a run, with Poisson arrivals, in order of arrival.

The load is the engine time that the prompts need, without savings from the prefix cache, divided by the time that all
servers together have.
*/
export function createWorkload(deployment: DeploymentProfile, seed: number, load: number, durationMs: number): readonly WorkloadPrompt[] {
	const random = createRandom(seed);
	const arrivalsPerMs = load * deployment.modelServerCount / getMeanEngineTimeMs(deployment, 1);
	const prompts: WorkloadPrompt[] = [];
	let sentAt = 0;
	for (;;) {
		sentAt += -Math.log(1 - random.getFraction()) / arrivalsPerMs;
		if (sentAt > durationMs) {
			return prompts;
		}

		const band = drawLengthBand(random);
		prompts.push({
			requestId: `r${prompts.length}`,
			sentAt,
			entryIndex: random.getInteger(deployment.dataCentres.length),
			organisationIndex: drawOrganisation(random, deployment),
			deadlineMs: band.deadlineMs,
			work: drawPromptWork(random, deployment, band, prompts.length),
		});
	}
}

/** Index of the organisation whose traffic is multiplied in a greedy workload. */
export const greedyOrganisationIndex = 0;

/** Returns the workload with each prompt of the greedy organisation sent `factor` times, at regular intervals. */
export function createGreedyWorkload(prompts: readonly WorkloadPrompt[], factor: number): readonly WorkloadPrompt[] {
	const copies = prompts.filter(prompt => prompt.organisationIndex === greedyOrganisationIndex).flatMap(prompt =>
		Array.from({length: factor - 1}, (_, index) => ({
			...prompt, requestId: `${prompt.requestId}c${index}`, sentAt: prompt.sentAt + ((index + 1) * greedyCopySpacingMs),
		})));
	return [...prompts, ...copies].toSorted((left, right) => left.sentAt - right.sentAt);
}

/** Returns whether a prompt counts as long; the baseline run leaves out the long prompts. */
export function isLongPrompt(prompt: WorkloadPrompt): boolean {
	return prompt.work.promptTokens > 32_000;
}
