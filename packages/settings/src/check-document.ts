import type {ConfigurationDocument} from './configuration-schema.js';

/** A fault that no single field shows: a name that does not exist elsewhere in the document. */
export type ReferenceFault = Readonly<{
	/** `base`, or the name of an overlay. */
	part: string;
	field: string;
	message: string;
	remedy: string;
}>;

function overlayFaults(document: ConfigurationDocument, dataCentre: string): ReferenceFault[] {
	const overlay = document.overlays[dataCentre]!;
	const pools = Object.keys(document.base.pools).join(', ');
	const isKnown = dataCentre in document.base.dataCentres;
	const unknownDataCentre: ReferenceFault[] = isKnown
		? []
		: [{
			part: dataCentre, field: '', message: `the data centre "${dataCentre}" is not in the base`, remedy: `name the overlay after one of ${Object.keys(document.base.dataCentres).join(', ')}`,
		}];
	const unknownPools = Object.entries(overlay.upstreams).filter(([, upstream]) => !(upstream.pool in document.base.pools)).map(([name, upstream]) => ({
		part: dataCentre, field: `upstreams.${name}.pool`, message: `the pool "${upstream.pool}" is not in the base`, remedy: `use one of ${pools}`,
	}));
	const unknownOverrides = Object.keys(overlay.pools).filter(pool => !(pool in document.base.pools)).map(pool => ({
		part: dataCentre, field: `pools.${pool}`, message: `the pool "${pool}" is not in the base`, remedy: `use one of ${pools}`,
	}));
	return [...unknownDataCentre, ...unknownPools, ...unknownOverrides];
}

function sharedUpstreams(document: ConfigurationDocument): ReferenceFault[] {
	const seen = new Map<string, string>();
	const faults: ReferenceFault[] = [];
	for (const [dataCentre, overlay] of Object.entries(document.overlays)) {
		for (const name of Object.keys(overlay.upstreams)) {
			const other = seen.get(name);
			if (other !== undefined) {
				faults.push({
					part: dataCentre, field: `upstreams.${name}`, message: `the upstream "${name}" also stands in the overlay of ${other}`, remedy: 'give each upstream a name of its own',
				});
			}

			seen.set(name, dataCentre);
		}
	}

	return faults;
}

function sharedKeys(document: ConfigurationDocument): ReferenceFault[] {
	const seen = new Map<string, string>();
	const faults: ReferenceFault[] = [];
	for (const [member, settings] of Object.entries(document.base.members)) {
		for (const [index, key] of settings.keys.entries()) {
			const other = seen.get(key.sha256);
			if (other !== undefined) {
				faults.push({
					part: 'base', field: `members.${member}.keys.${index}`, message: `the key also belongs to the member "${other}"`, remedy: 'give each member keys of its own',
				});
			}

			seen.set(key.sha256, member);
		}
	}

	return faults;
}

/** Checks what the schema can't: that names refer to something, and that upstreams and keys are not shared. */
export function checkDocument(document: ConfigurationDocument): ReferenceFault[] {
	return [
		...sharedKeys(document),
		...sharedUpstreams(document),
		...Object.keys(document.overlays).flatMap(dataCentre => overlayFaults(document, dataCentre)),
	];
}

export function formatReferenceFault(fault: ReferenceFault): string {
	return `${fault.part}: ${fault.field === '' ? '' : `${fault.field}: `}${fault.message}; ${fault.remedy}`;
}
