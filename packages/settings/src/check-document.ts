import type {ConfigurationDocument} from './configuration-schema.js';

/** An issue that spans several fields, such as a reference to a name that the document does not define. */
export type ReferenceIssue = Readonly<{
	/** `base`, or the name of an overlay. */
	part: string;
	field: string;
	message: string;
	remedy: string;
}>;

function findUnknownReferences(document: ConfigurationDocument, dataCentre: string): ReferenceIssue[] {
	const overlay = document.overlays[dataCentre]!;
	const pools = Object.keys(document.base.pools).join(', ');
	const isKnownDataCentre = dataCentre in document.base.dataCentres;
	const unknownDataCentre: ReferenceIssue[] = isKnownDataCentre
		? []
		: [{
			part: dataCentre, field: '', message: `the data centre "${dataCentre}" is not in the base`, remedy: `name the overlay after one of ${Object.keys(document.base.dataCentres).join(', ')}`,
		}];
	const unknownPools = Object.entries(overlay.upstreams).filter(([, upstream]) => !(upstream.pool in document.base.pools)).map(([name, upstream]) => ({
		part: dataCentre, field: `upstreams.${name}.pool`, message: `the pool "${upstream.pool}" is not in the base`, remedy: `use one of ${pools}`,
	}));
	const unknownPoolOverrides = Object.keys(overlay.pools).filter(pool => !(pool in document.base.pools)).map(pool => ({
		part: dataCentre, field: `pools.${pool}`, message: `the pool "${pool}" is not in the base`, remedy: `use one of ${pools}`,
	}));
	return [...unknownDataCentre, ...unknownPools, ...unknownPoolOverrides];
}

function findDuplicateUpstreams(document: ConfigurationDocument): ReferenceIssue[] {
	const dataCentreByUpstream = new Map<string, string>();
	const issues: ReferenceIssue[] = [];
	for (const [dataCentre, overlay] of Object.entries(document.overlays)) {
		for (const name of Object.keys(overlay.upstreams)) {
			const otherDataCentre = dataCentreByUpstream.get(name);
			if (otherDataCentre !== undefined) {
				issues.push({
					part: dataCentre, field: `upstreams.${name}`, message: `the upstream "${name}" also stands in the overlay of ${otherDataCentre}`, remedy: 'give each upstream a name of its own',
				});
			}

			dataCentreByUpstream.set(name, dataCentre);
		}
	}

	return issues;
}

function findSharedKeys(document: ConfigurationDocument): ReferenceIssue[] {
	const memberByKeyHash = new Map<string, string>();
	const issues: ReferenceIssue[] = [];
	for (const [member, settings] of Object.entries(document.base.members)) {
		for (const [index, key] of settings.keys.entries()) {
			const otherMember = memberByKeyHash.get(key.sha256);
			if (otherMember !== undefined) {
				issues.push({
					part: 'base', field: `members.${member}.keys.${index}`, message: `the key also belongs to the member "${otherMember}"`, remedy: 'give each member keys of its own',
				});
			}

			memberByKeyHash.set(key.sha256, member);
		}
	}

	return issues;
}

/** Checks what the schema can't express: that referenced names are defined, and that upstreams and keys are unique. */
export function checkDocument(document: ConfigurationDocument): ReferenceIssue[] {
	return [
		...findSharedKeys(document),
		...findDuplicateUpstreams(document),
		...Object.keys(document.overlays).flatMap(dataCentre => findUnknownReferences(document, dataCentre)),
	];
}

export function formatReferenceIssue(issue: ReferenceIssue): string {
	return `${issue.part}: ${issue.field === '' ? '' : `${issue.field}: `}${issue.message}; ${issue.remedy}`;
}
