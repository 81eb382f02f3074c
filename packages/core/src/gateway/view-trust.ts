/**
How far this gateway's view of the other gateways' requests can be trusted, learned from the loads that endpoints report.

The load that it answers: many gateways whose news of each other's requests is older than the requests are long. What a view then
shows as the difference of two endpoints is over, and gateways that act on it all turn to the same endpoint. The trust is the
share of a difference between an endpoint and the mean that is real: the slope of the reported deviations over the seen ones.
*/

export type ViewTrust = Readonly<{
	/** Learns from the number of requests by which an endpoint deviates from the mean, as seen and as it reports. */
	learn(seenDeviation: number, reportedDeviation: number): void;
	/** Returns the trust, from 0 to 1. */
	getTrust(): number;
}>;

/** Trust before an endpoint has reported its load, and the squared deviation that it counts as. */
const priorTrust = 0.5;
const priorVariance = 4;
/** Share of what was learned that each report leaves. */
const keptShare = 0.98;

/** Creates a trust that knows no reports. */
export function createViewTrust(): ViewTrust {
	let covariance = 0;
	let variance = 0;
	return {
		learn(seenDeviation, reportedDeviation) {
			covariance = (covariance * keptShare) + (seenDeviation * reportedDeviation);
			variance = (variance * keptShare) + (seenDeviation * seenDeviation);
		},
		getTrust: () => Math.min(1, Math.max(0, (covariance + (priorTrust * priorVariance)) / (variance + priorVariance))),
	};
}
